import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** A TCP proxy that can stop passing on the bytes of open connections, one way or both, while new connections still work. */
export class SwallowingProxy {
    private readonly pairs = new Set<{ readonly client: Socket; readonly server: Socket; swallowsUp: boolean; swallowsDown: boolean; }>();
    /** Connections taken since the start. */
    acceptedCount = 0;
    private refusesNew = false;

    constructor(private readonly targetPort: number) {}

    /** Listens on a free port of the loopback interface until `signal` aborts. */
    async start(signal: AbortSignal): Promise<number> {
        const server = createServer(client => {
            this.accept(client);
        });
        signal.addEventListener("abort", () => {
            server.close();
            this.closeAll();
        }, { once: true });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return (server.address() as AddressInfo).port;
    }

    /** Swallows what the connections open now carry towards the target (`up`), from it (`down`), or both. */
    swallow(direction: "up" | "down" | "both"): void {
        for (const pair of this.pairs) {
            pair.swallowsUp ||= direction !== "down";
            pair.swallowsDown ||= direction !== "up";
        }
    }

    /** Whether new connections are closed at once. */
    refuseNew(refuses: boolean): void {
        this.refusesNew = refuses;
    }

    private accept(client: Socket): void {
        if (this.refusesNew) {
            client.destroy();
            return;
        }
        this.acceptedCount++;
        const server = connect(this.targetPort, "127.0.0.1");
        const pair = { client, server, swallowsUp: false, swallowsDown: false };
        this.pairs.add(pair);
        client.on("data", bytes => pair.swallowsUp || server.write(bytes));
        server.on("data", bytes => pair.swallowsDown || client.write(bytes));
        const end = () => {
            this.pairs.delete(pair);
            client.destroy();
            server.destroy();
        };
        for (const socket of [client, server]) {
            socket.on("error", end);
            socket.on("close", end);
        }
    }

    private closeAll(): void {
        for (const pair of this.pairs) {
            pair.client.destroy();
            pair.server.destroy();
        }
    }
}
