import type { Dispatcher } from "undici";
import type { ConnectionState } from "./ConnectionState.js";

/** Dispatch options of a request that is notified which connection it runs on. */
export interface TrackedDispatchOptions extends Dispatcher.DispatchOptions {
    readonly onConnection?: (state: ConnectionState) => void;
}
