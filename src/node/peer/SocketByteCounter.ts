import type { Socket } from "node:net";

/** Counts the bytes transmitted on sockets: after compression, and with handshakes included. */
export class SocketByteCounter {
    private readonly openSockets = new Set<Socket>();
    private closedSentBytes = 0;
    private closedReceivedBytes = 0;

    /** Adds a socket. All its bytes count, including those transmitted before this call. */
    add(socket: Socket): void {
        this.openSockets.add(socket);
        socket.once("close", () => {
            this.openSockets.delete(socket);
            this.closedSentBytes += socket.bytesWritten;
            this.closedReceivedBytes += socket.bytesRead;
        });
    }

    get sentBytes(): number {
        return [...this.openSockets].reduce((sum, socket) => sum + socket.bytesWritten, this.closedSentBytes);
    }

    get receivedBytes(): number {
        return [...this.openSockets].reduce((sum, socket) => sum + socket.bytesRead, this.closedReceivedBytes);
    }
}
