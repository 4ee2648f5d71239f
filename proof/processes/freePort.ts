import { once } from "node:events";
import { createServer, type Server } from "node:net";

/** Ports below those that the system hands out for port 0; nothing else takes one of them between choice and use. */
const firstLockPort = 20_000;
const firstPort = 21_000;
const slots = 100;
const portsPerSlot = 100;

let slot: Promise<number> | undefined;
let next = 0;

/** A port of the loopback interface that no other test process and no later call of this one is given. */
export async function freePort(): Promise<number> {
    slot ??= takeSlot();
    const base = firstPort + await slot * portsPerSlot;
    if (next >= portsPerSlot) {
        throw new Error(`this process has used its ${portsPerSlot} ports; use fewer, or raise portsPerSlot`);
    }
    return base + next++;
}

/** Takes a range of ports by listening on its lock port until the process ends. */
async function takeSlot(): Promise<number> {
    for (let index = 0; index < slots; index++) {
        if (await lock(firstLockPort + index)) {
            return index;
        }
    }
    throw new Error(`all ${slots} ranges of ports are taken by other test processes; end some of them`);
}

async function lock(port: number): Promise<boolean> {
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
