import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { delay } from "../shared/delay.js";

/** A TCP proxy that can discard the bytes of open connections in one or both directions while new connections still work. */
export class SwallowingProxy {
    private readonly pairs = new Set<{ readonly client: Socket; readonly server: Socket; swallowsUp: boolean; swallowsDown: boolean; }>();
    /** Number of connections accepted so far. */
    acceptedCount = 0;
    /** Delay before bytes are forwarded. */
    delayMs = 0;
    private isRefusingNew = false;
    /** For each socket with delayed bytes, resolves when the last of them have been forwarded. */
    private readonly pendingWrites = new WeakMap<Socket, Promise<void>>();

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

    /** Discards bytes of all currently open connections towards the target (`up`), from it (`down`), or in both directions. */
    swallow(direction: "up" | "down" | "both"): void {
        for (const pair of this.pairs) {
            pair.swallowsUp ||= direction !== "down";
            pair.swallowsDown ||= direction !== "up";
        }
    }

    /** Sets whether new connections are closed immediately. */
    refuseNew(refuses: boolean): void {
        this.isRefusingNew = refuses;
    }

    /** Resets every open connection. */
    resetAll(): void {
        for (const pair of [...this.pairs]) {
            pair.client.resetAndDestroy();
            pair.server.resetAndDestroy();
        }
    }

    private accept(client: Socket): void {
        if (this.isRefusingNew) {
            client.destroy();
            return;
        }
        this.acceptedCount++;
        const server = connect(this.targetPort, "127.0.0.1");
        const pair = { client, server, swallowsUp: false, swallowsDown: false };
        this.pairs.add(pair);
        client.on("data", bytes => {
            this.forward(bytes, server, () => pair.swallowsUp);
        });
        server.on("data", bytes => {
            this.forward(bytes, client, () => pair.swallowsDown);
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

    private forward(bytes: Buffer, to: Socket, isSwallowed: () => boolean): void {
        if (isSwallowed()) {
            return;
        }
        const isIdle = !this.pendingWrites.has(to);
        if (isIdle && this.delayMs === 0) {
            to.write(bytes);
            return;
        }
        // Wait for earlier writes, so that bytes stay in order when the delay is reduced.
        const dueMs = performance.now() + this.delayMs;
        const pendingWrite = (this.pendingWrites.get(to) ?? Promise.resolve()).then(async () => {
            await delay(Math.max(0, dueMs - performance.now()));
            if (!to.destroyed) {
                to.write(bytes);
            }
            if (this.pendingWrites.get(to) === pendingWrite) {
                this.pendingWrites.delete(to);
            }
        });
        this.pendingWrites.set(to, pendingWrite);
    }

    private closeAll(): void {
        for (const pair of this.pairs) {
            pair.client.destroy();
            pair.server.destroy();
        }
    }
}
