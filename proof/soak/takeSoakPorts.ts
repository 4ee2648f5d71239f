import { freePort } from "../processes/freePort.js";
import type { SoakPorts } from "./SoakPorts.js";

/** Reserves the ports of one VM, which no other test process gets. */
export async function takeSoakPorts(): Promise<SoakPorts> {
    return { caller: await freePort(), probe: await freePort(), peer: await freePort(), metrics: await freePort() };
}
