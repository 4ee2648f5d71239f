import type { Socket } from "node:net";

/** Writes these bytes in pieces of `pieceBytes`, each after the one before has been taken by the kernel. */
export async function writePieces(socket: Socket, bytes: Buffer, pieceBytes: number): Promise<void> {
    for (let offset = 0; offset < bytes.length && !socket.destroyed; offset += pieceBytes) {
        await new Promise<void>(resolve =>
            socket.write(bytes.subarray(offset, offset + pieceBytes), () => {
                resolve();
            })
        );
    }
}
