import { measureMemory } from "../booking/measureMemory.js";
import { measureTraffic } from "../membership/measureTraffic.js";
import { measureDecisionCost } from "../policy/measureDecisionCost.js";
import { measureConfiguration } from "./measureConfiguration.js";
import { measureRequestMessages } from "./measureRequestMessages.js";
import { measureTicketBytes } from "./measureTicketBytes.js";
import type { Quantity } from "./Quantity.js";

const vms = 330;
const zones = 11;
const membershipDurationMs = 30_000;
const waitingTickets = 1_000;

/** Measures the costs per unit (slopes) that the capacity table uses. Throws when one is not positive. Needs `--expose-gc`. */
export async function measureSlopes(): Promise<Quantity[]> {
    // Memory is measured first: garbage of the other measurements, freed during it, would lower the result.
    const slopes = [
        measureTicketBytes(),
        ...measureConfiguration(),
        measureClaimBytes(),
        measureDecisionMicroseconds(),
        measureMembershipBytes(),
    ];
    slopes.push(...await measureRequestMessages());
    for (const { name, value } of slopes) {
        if (!(value > 0)) {
            throw new Error(`slope ${name} is ${value}, expected a positive number; run the benchmark again on an idle machine`);
        }
    }
    return slopes;
}

function measureClaimBytes(): Quantity {
    const figure = measureMemory().find(({ name }) => name === "memoryPerThousandKeys");
    return { name: "claimBytes", value: Math.round((figure?.value ?? Number.NaN) / 1_000), unit: "bytes", source: figure?.variant ?? "" };
}

function measureDecisionMicroseconds(): Quantity {
    const cost = measureDecisionCost().find(({ waiting }) => waiting === waitingTickets);
    const value = cost?.microsecondsPerRequest ?? Number.NaN;
    return { name: "decisionMicroseconds", value, unit: "us", source: `${waitingTickets} tickets waiting, 16 engines` };
}

function measureMembershipBytes(): Quantity {
    const { bytesPerSecond } = measureTraffic(vms, zones, membershipDurationMs);
    const source = `${vms} VMs in ${zones} zones over virtual time, before compression`;
    return { name: "membershipBytesPerSecond", value: Math.round(bytesPerSecond), unit: "bytes/s", source };
}
