import type { PeerConnection } from "./PeerConnection.js";

/**
 * Returns the connection that both ends use, or undefined if none is open. The newest incarnation of the peer comes first, then
 * connections that are not silent. Among these, both ends make the same choice: the highest generation, then the lower VM id of the dialer.
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
    return getDialerVm(selfVm, left) < getDialerVm(selfVm, right);
}

function getDialerVm(selfVm: string, connection: PeerConnection): string {
    return connection.role === "dialer" ? selfVm : connection.peer?.vm ?? "";
}
