import type { ProgressReporter } from "../../src/core/dispatch/ProgressReporter.js";
import type { EngineCall } from "./EngineCall.js";
import type { EngineFake } from "./EngineFake.js";

/** Open stream of an entry VM under a grant. */
export interface EntryStream {
    readonly grantId: string;
    readonly engine: EngineFake;
    readonly call: EngineCall;
    readonly reporter: ProgressReporter;
    readonly grantedMs: number;
}
