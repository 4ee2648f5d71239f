import { once } from "node:events";
import { createServer, type Server } from "node:net";

/** All ports lie below the ephemeral range, so that the system gives none of them to another socket between choice and use. */
const firstLockPort = 20_000;
const firstPort = 21_000;
const rangeCount = 100;
const portsPerRange = 100;

let portRange: Promise<number> | undefined;
let nextOffset = 0;

/** Returns a loopback port that no other test process and no later call in this process gets. */
export async function freePort(): Promise<number> {
    portRange ??= reservePortRange();
    const base = firstPort + await portRange * portsPerRange;
    if (nextOffset >= portsPerRange) {
        throw new Error(`this process has used all of its ${portsPerRange} ports; use fewer, or raise portsPerRange`);
    }
    return base + nextOffset++;
}

/** Reserves a range of ports by listening on its lock port until the process ends; returns the index of the range. */
async function reservePortRange(): Promise<number> {
    for (let index = 0; index < rangeCount; index++) {
        if (await acquireLock(firstLockPort + index)) {
            return index;
        }
    }
    throw new Error(`all ${rangeCount} port ranges are reserved by other test processes; end some of them`);
}

async function acquireLock(port: number): Promise<boolean> {
    const server: Server = createServer().listen(port, "127.0.0.1");
    server.unref();
    try {
        await once(server, "listening");
        return true;
    }
    catch {
        return false;
    }
}
