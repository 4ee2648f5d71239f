import { measureMemory } from "../booking/measureMemory.js";
import { measureTraffic } from "../membership/measureTraffic.js";
import { measureDecisionCost } from "../policy/measureDecisionCost.js";
import { measureConfiguration } from "./measureConfiguration.js";
import { measureRequestMessages } from "./measureRequestMessages.js";
import { measureTicketBytes } from "./measureTicketBytes.js";
import type { Quantity } from "./Quantity.js";

const vms = 330;
const zones = 11;
const membershipMs = 30_000;
const costAtWaiting = 1_000;

/** Measures every slope that the capacity table is worked out from. Throws when one is no positive number. */
export async function measureSlopes(): Promise<Quantity[]> {
    // What takes memory comes first: garbage of the others would be freed meanwhile and counted against it.
    const slopes = [measureTicketBytes(), ...measureConfiguration(), claimBytes(), decisionMicroseconds(), membershipBytes()];
    slopes.push(...await measureRequestMessages());
    for (const { name, value } of slopes) {
        if (!(value > 0)) {
            throw new Error(`the slope ${name} came out as ${value}; run the benchmark again on a quiet machine`);
        }
    }
    return slopes;
}

function claimBytes(): Quantity {
    const figure = measureMemory().find(({ name }) => name === "memoryPerThousandKeys");
    return { name: "claimBytes", value: Math.round((figure?.value ?? Number.NaN) / 1_000), unit: "bytes", source: figure?.variant ?? "" };
}

function decisionMicroseconds(): Quantity {
    const cost = measureDecisionCost().find(({ waiting }) => waiting === costAtWaiting);
    const value = cost?.microsecondsPerRequest ?? Number.NaN;
    return { name: "decisionMicroseconds", value, unit: "us", source: `${costAtWaiting} tickets waiting, 16 engines` };
}

function membershipBytes(): Quantity {
    const { bytesPerSecond } = measureTraffic(vms, zones, membershipMs);
    const source = `${vms} VMs in ${zones} zones over virtual time, before compression`;
    return { name: "membershipBytesPerSecond", value: Math.round(bytesPerSecond), unit: "bytes/s", source };
}
