import { freePort } from "../processes/freePort.js";
import type { SoakPorts } from "./SoakPorts.js";

/** Takes ports for one VM that no other test process is given. */
export async function takeSoakPorts(): Promise<SoakPorts> {
    return { caller: await freePort(), probe: await freePort(), peer: await freePort(), metrics: await freePort() };
}
