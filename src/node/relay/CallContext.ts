import type { CallSummary } from "../caller/CallSummary.js";
import type { CallerResponse } from "./CallerResponse.js";
import type { RelayDependencies } from "./RelayDependencies.js";
import type { RelayRequest } from "./RelayRequest.js";

/** What the parts that handle one call have in common. */
export interface CallContext {
    readonly dependencies: RelayDependencies;
    readonly request: RelayRequest;
    readonly service: string;
    /** Shared parts of the prompt; empty for a call without a prompt. */
    readonly sharedPartIds: readonly string[];
    /** The caller must have been answered by then, on the clock of the scheduler. */
    readonly deadlineMs: number;
    readonly summary: CallSummary;
    readonly callerResponse: CallerResponse;
}
