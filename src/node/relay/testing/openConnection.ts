import { once } from "node:events";
import { connect } from "node:net";

/** Opens a connection to a server on loopback, over which a test sends bytes of its own choice and sees all that comes back. */
export async function openConnection(port: number) {
    const socket = connect({ host: "127.0.0.1", port });
    const chunks: Buffer[] = [];
    const events = new EventTarget();
    const closed = new Promise<void>(resolve => socket.once("close", resolve));
    socket.on("error", () => undefined);
    socket.on("data", (bytes: Buffer) => {
        chunks.push(bytes);
        events.dispatchEvent(new Event("received"));
    });
    await once(socket, "connect");
    const getText = () => Buffer.concat(chunks).toString("latin1");
    return {
        socket,
        /** Resolves with all that has been received, once it matches `pattern` or the server has closed the connection. */
        receive: async (pattern: RegExp): Promise<string> => {
            while (!pattern.test(getText()) && !socket.closed) {
                await Promise.race([once(events, "received"), closed]);
            }
            return getText();
        },
        /** Resolves with all that has been received when the server has closed the connection. */
        receiveAll: async (): Promise<string> => {
            await closed;
            return getText();
        },
    };
}
