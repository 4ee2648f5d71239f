import type { LoadRunHeader } from "./LoadRunHeader.js";
import type { LoadSample } from "./LoadSample.js";

/** A load run with the samples of all its requests. */
export interface LoadRun {
    readonly name: string;
    readonly head: LoadRunHeader;
    readonly samples: readonly LoadSample[];
}
