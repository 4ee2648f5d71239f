import type { PeerConnection } from "./PeerConnection.js";

/**
 * The connection that both ends use. Connections that are not silent go first; among them both ends come to the same
 * choice: the newest incarnation, the highest generation, then the one dialled by the lesser VM id.
 */
export function selectBestConnection(
    selfVm: string,
    connections: readonly PeerConnection[],
    nowMs: number,
): PeerConnection | undefined {
    let best: PeerConnection | undefined;
    for (const connection of connections) {
        if (connection.isOpen && (best === undefined || isBetter(selfVm, connection, best, nowMs))) {
            best = connection;
        }
    }
    return best;
}

function isBetter(selfVm: string, left: PeerConnection, right: PeerConnection, nowMs: number): boolean {
    const leftIncarnation = left.peer?.incarnation ?? "";
    const rightIncarnation = right.peer?.incarnation ?? "";
    if (leftIncarnation !== rightIncarnation) {
        return leftIncarnation > rightIncarnation;
    }
    const isLeftSilent = left.isSilent(nowMs);
    if (isLeftSilent !== right.isSilent(nowMs)) {
        return !isLeftSilent;
    }
    if (left.generation !== right.generation) {
        return left.generation > right.generation;
    }
    return dialerOf(selfVm, left) < dialerOf(selfVm, right);
}

function dialerOf(selfVm: string, connection: PeerConnection): string {
    return connection.role === "dialer" ? selfVm : connection.peer?.vm ?? "";
}
