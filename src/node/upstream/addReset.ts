import type { Socket } from "node:net";
import { TLSSocket } from "node:tls";

/**
 * Returns a function after whose call the next `destroy` of a socket resets its connection, with the error that it is given. `resetAndDestroy` cannot
 * be used where undici destroys the socket itself and expects it to be open until then. Has no effect on connections with TLS, which Node.js cannot reset.
 */
export function addReset(socket: Socket): () => void {
    if (socket instanceof TLSSocket) {
        return () => undefined;
    }
    const destroy = socket.destroy.bind(socket);
    let isResetDue = false;
    let resetError: Error | undefined;
    socket.destroy = error => {
        if (!isResetDue) {
            return destroy(error ?? resetError);
        }
        isResetDue = false;
        resetError = error;
        // Calls `destroy` without an error.
        return socket.resetAndDestroy();
    };
    return () => {
        isResetDue = true;
    };
}
