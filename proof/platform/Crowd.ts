import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Connections of clients that send without reading, and stay open until the crowd leaves. */
export class Crowd {
    private readonly sockets: Socket[] = [];

    constructor(private readonly port: number) {}

    /** Opens connections and sends on each; resolves when all has been written, a connection has been closed, or `maxMs` has passed. */
    async send(count: number, write: (socket: Socket, index: number) => Promise<void>, maxMs: number): Promise<void> {
        const finished = [...Array(count).keys()].map(async index => {
            const socket = connect({ host: "127.0.0.1", port: this.port });
            this.sockets.push(socket);
            const closed = new Promise<void>(resolve => socket.once("close", resolve));
            // Refused and reset connections are what a VM may do to such clients.
            socket.on("error", () => undefined);
            socket.pause();
            await Promise.race([closed, write(socket, index)]);
        });
        await Promise.race([Promise.all(finished), sleep(maxMs, undefined, { ref: false })]);
    }

    leave(): void {
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }
}
