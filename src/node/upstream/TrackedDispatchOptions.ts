import type { Dispatcher } from "undici";
import type { ConnectionState } from "./ConnectionState.js";

/** Dispatch options with a callback that gives access to the connection of the client. */
export interface TrackedDispatchOptions extends Dispatcher.DispatchOptions {
    /** Called at dispatch, when the connection on which the request will be written may not be open yet. */
    readonly onDispatch?: (getConnection: () => ConnectionState | undefined) => void;
}
