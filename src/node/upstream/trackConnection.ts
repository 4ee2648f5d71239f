import type { Socket } from "node:net";
import { addReset } from "./addReset.js";
import type { ConnectionState } from "./ConnectionState.js";
import { FramingLimiter } from "./FramingLimiter.js";

/** Returns the state of a connection that has just been opened, and keeps it up to date. */
export function trackConnection(socket: Socket): ConnectionState {
    const state: ConnectionState = {
        hasFailed: false,
        hasEndedDuringUpload: false,
        hasResponded: false,
        framingLimiter: new FramingLimiter(socket),
        resetOnClose: addReset(socket),
    };
    socket.once("error", () => {
        state.hasFailed = true;
    });
    // An upstream that closes the connection before it has received the request may have failed in the middle of its response.
    socket.once("end", () => {
        state.hasEndedDuringUpload = socket.writableLength > 0;
    });
    return state;
}
