import { measureMemory } from "../booking/measureMemory.js";
import { measureTraffic } from "../membership/measureTraffic.js";
import { measureConfiguration } from "./measureConfiguration.js";
import { measureDispatcher } from "./measureDispatcher.js";
import { measureRequestMessages } from "./measureRequestMessages.js";
import type { Quantity } from "./Quantity.js";

const vms = 330;
const zones = 11;
const membershipMs = 30_000;

/** Measures every slope that the capacity table is worked out from. */
export async function measureSlopes(): Promise<Quantity[]> {
    const membership = measureTraffic(vms, zones, membershipMs);
    const claims = measureMemory().find(figure => figure.name === "memoryPerThousandKeys");
    return [
        ...await measureRequestMessages(),
        ...measureDispatcher(),
        ...measureConfiguration(),
        { name: "claimBytes", value: Math.round((claims?.value ?? Number.NaN) / 1_000), unit: "bytes", source: claims?.variant ?? "" },
        {
            name: "membershipBytesPerSecond",
            value: Math.round(membership.bytesPerSecond),
            unit: "bytes/s",
            source: `${vms} VMs in ${zones} zones over virtual time, before compression`,
        },
    ];
}
