import type { LoadRunHead } from "./LoadRunHead.js";
import type { LoadSample } from "./LoadSample.js";

/** A load run with the samples of all its requests. */
export interface LoadRun {
    readonly name: string;
    readonly head: LoadRunHead;
    readonly samples: readonly LoadSample[];
}
