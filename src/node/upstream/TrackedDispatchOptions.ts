import type { Dispatcher } from "undici";
import type { ConnectionState } from "./ConnectionState.js";

/** Dispatch options with a callback that receives the state of the connection on which the request runs. */
export interface TrackedDispatchOptions extends Dispatcher.DispatchOptions {
    readonly onConnection?: (state: ConnectionState) => void;
}
