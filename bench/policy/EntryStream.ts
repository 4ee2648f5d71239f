import type { ProgressReporter } from "../../src/core/dispatch/ProgressReporter.js";
import type { EngineCall } from "./EngineCall.js";
import type { EngineFake } from "./EngineFake.js";

/** A stream that an entry VM has open under a grant. */
export interface EntryStream {
    readonly grantId: string;
    readonly engine: EngineFake;
    readonly call: EngineCall;
    readonly reporter: ProgressReporter;
    readonly grantedMs: number;
}
