import type { Server } from "node:http";
import type { Socket } from "node:net";

interface ConnectionLimit {
    readonly maxConnections: number;
    /** Lower values are closed first, the oldest of equals; connections without a value are kept, and the new one is closed. */
    readonly rank: (socket: Socket) => number | undefined;
    readonly onClosed: () => void;
}

/** Limits the connections of a server by closing the one that matters least when there are too many. */
export function limitConnections(server: Server, limit: ConnectionLimit): void {
    const sockets = new Set<Socket>();
    server.on("connection", (socket: Socket) => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
        if (sockets.size <= limit.maxConnections) {
            return;
        }
        let closed = socket;
        let lowestRank = Infinity;
        for (const candidate of sockets) {
            const rank = candidate === socket ? undefined : limit.rank(candidate);
            if (rank !== undefined && rank < lowestRank) {
                closed = candidate;
                lowestRank = rank;
            }
        }
        sockets.delete(closed);
        // A reset frees the descriptor at once and needs no reading of what has arrived.
        closed.resetAndDestroy();
        limit.onClosed();
    });
}
