import { once } from "node:events";
import { createServer, type Server } from "node:net";

/** All ports lie below the ephemeral range, so that the system gives none of them to another socket between choice and use. */
const firstLockPort = 20_000;
const firstPort = 21_000;
const rangeCount = 100;
const portsPerRange = 100;

let portRange: Promise<number> | undefined;
let nextOffset = 0;

/** Returns a loopback port on which nothing listens, and which no other test process and no later call in this process gets. */
export async function freePort(): Promise<number> {
    portRange ??= reservePortRange();
    const base = firstPort + await portRange * portsPerRange;
    while (nextOffset < portsPerRange) {
        const port = base + nextOffset++;
        const server = await tryListen(port);
        if (server !== undefined) {
            server.close();
            await once(server, "close");
            return port;
        }
        console.error(`port ${port} is reserved by this process, but another one still listens on it; taking the next port`);
    }
    throw new Error(`this process has used all of its ${portsPerRange} ports; use fewer, or raise portsPerRange`);
}

/** Reserves a range of ports by listening on its lock port until the process ends; returns the index of the range. */
async function reservePortRange(): Promise<number> {
    for (let index = 0; index < rangeCount; index++) {
        const lock = await tryListen(firstLockPort + index);
        if (lock !== undefined) {
            lock.unref();
            return index;
        }
    }
    throw new Error(`all ${rangeCount} port ranges are reserved by other test processes; end some of them`);
}

/** Listens on a loopback port; resolves with undefined if the port is in use. */
async function tryListen(port: number): Promise<Server | undefined> {
    const server = createServer().listen(port, "127.0.0.1");
    try {
        await once(server, "listening");
        return server;
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code !== "EADDRINUSE") {
            throw error;
        }
        return undefined;
    }
}
