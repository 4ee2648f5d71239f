import type { Socket } from "node:net";

/** Bytes that sockets have carried, handshakes and compression included. */
export class SocketByteCounter {
    private readonly open = new Set<Socket>();
    private closedSentBytes = 0;
    private closedReceivedBytes = 0;

    /** Counts a socket, from its first byte to its last. */
    add(socket: Socket): void {
        this.open.add(socket);
        socket.once("close", () => {
            this.open.delete(socket);
            this.closedSentBytes += socket.bytesWritten;
            this.closedReceivedBytes += socket.bytesRead;
        });
    }

    get sentBytes(): number {
        return [...this.open].reduce((sum, socket) => sum + socket.bytesWritten, this.closedSentBytes);
    }

    get receivedBytes(): number {
        return [...this.open].reduce((sum, socket) => sum + socket.bytesRead, this.closedReceivedBytes);
    }
}
