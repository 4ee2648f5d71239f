import type { Dispatcher } from "undici";
import type { ConnectionState } from "./ConnectionState.js";

/** A request that is told on which connection it runs. */
export interface TrackedDispatchOptions extends Dispatcher.DispatchOptions {
    readonly onConnection?: (state: ConnectionState) => void;
}
