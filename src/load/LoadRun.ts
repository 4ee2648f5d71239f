import type { LoadRunHeader } from "./LoadRunHeader.js";
import type { LoadSample } from "./LoadSample.js";

/** A load run with one sample for each of its requests. */
export interface LoadRun {
    readonly name: string;
    readonly head: LoadRunHeader;
    readonly samples: readonly LoadSample[];
}
