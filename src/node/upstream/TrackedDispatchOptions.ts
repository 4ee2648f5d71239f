import type { Dispatcher } from "undici";
import type { ConnectionState } from "./ConnectionState.js";

/** Dispatch options that tell on which connection the request runs. */
export interface TrackedDispatchOptions extends Dispatcher.DispatchOptions {
    /** Called at the dispatch. The connection of the request is the one that `getConnection` returns when the request is written. */
    readonly onDispatch?: (getConnection: () => ConnectionState | undefined) => void;
}
