import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { delay } from "../shared/delay.js";

/** A TCP proxy that can stop passing on the bytes of open connections, one way or both, while new connections still work. */
export class SwallowingProxy {
    private readonly pairs = new Set<{ readonly client: Socket; readonly server: Socket; swallowsUp: boolean; swallowsDown: boolean; }>();
    /** Connections taken since the start. */
    acceptedCount = 0;
    /** Bytes are passed on this much later. */
    delayMs = 0;
    private refusesNew = false;
    /** When the last of the delayed bytes will have been passed on to a socket. */
    private readonly late = new WeakMap<Socket, Promise<void>>();

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

    /** Resets every open connection. */
    resetAll(): void {
        for (const pair of [...this.pairs]) {
            pair.client.resetAndDestroy();
            pair.server.resetAndDestroy();
        }
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
        client.on("data", bytes => {
            this.pass(bytes, server, () => pair.swallowsUp);
        });
        server.on("data", bytes => {
            this.pass(bytes, client, () => pair.swallowsDown);
        });
        const end = () => {
            this.pairs.delete(pair);
            if (this.delayMs > 0) {
                setTimeout(destroyBoth, this.delayMs);
                return;
            }
            destroyBoth();
        };
        const destroyBoth = () => {
            client.destroy();
            server.destroy();
        };
        for (const socket of [client, server]) {
            socket.on("error", end);
            socket.on("close", end);
        }
    }

    private pass(bytes: Buffer, to: Socket, isSwallowed: () => boolean): void {
        if (isSwallowed()) {
            return;
        }
        const isIdle = !this.late.has(to);
        if (isIdle && this.delayMs === 0) {
            to.write(bytes);
            return;
        }
        // Bytes never overtake earlier ones, also when the delay becomes shorter.
        const dueMs = performance.now() + this.delayMs;
        const passed = (this.late.get(to) ?? Promise.resolve()).then(async () => {
            await delay(Math.max(0, dueMs - performance.now()));
            if (!to.destroyed) {
                to.write(bytes);
            }
            if (this.late.get(to) === passed) {
                this.late.delete(to);
            }
        });
        this.late.set(to, passed);
    }

    private closeAll(): void {
        for (const pair of this.pairs) {
            pair.client.destroy();
            pair.server.destroy();
        }
    }
}
