import type { Quantity } from "./Quantity.js";

const source = "two-year size";

/** Sizes that the fleet is designed for. The texts are rendered into docs/CAPACITY.md. */
export const fleetSizes: readonly Quantity[] = [
    { name: "vms", value: 330, unit: "VMs", source },
    { name: "zones", value: 11, unit: "zones", source },
    { name: "engines", value: 1_300, unit: "engines", source },
    { name: "customers", value: 1_200, unit: "customers", source },
    { name: "models", value: 4, unit: "models", source },
    { name: "tiers", value: 7, unit: "classes", source },
    { name: "requestsPerSecond", value: 1_600, unit: "requests/s", source },
    { name: "tokensPerSecond", value: 520_000, unit: "tokens/s", source },
    { name: "configChangesPerDay", value: 6_900, unit: "changes/day", source },
    { name: "replacementsPerDay", value: 256, unit: "VMs/day", source: "230 replacements and 26 failures" },
    { name: "secondsPerDay", value: 86_400, unit: "s", source: "definition" },
    { name: "shardEngines", value: 16, unit: "engines", source: "largest shard" },
    { name: "bookingsPerSecond", value: 100, unit: "bookings/s", source: "assumed: the letter gives no number" },
    { name: "streamSeconds", value: 11.4, unit: "s", source: "325 tokens a request at 35 ms" },
    { name: "messagesPerRequest", value: 7, unit: "messages", source: "offer, grant, two progress reports, end, quota report and loan" },
    { name: "bookingAppendsPerSecond", value: 200, unit: "appends/s", source: "bookings.fleetAppendsPerSecond, the whole fleet" },
    { name: "leaseRenewSeconds", value: 2, unit: "s", source: "renewed when less than 6 s of the lease are left of 8" },
    {
        name: "snapshotsPerDay",
        value: 4,
        unit: "snapshots/day",
        source: "config.snapshotPeriodMs of 6 h; 3.5 by config.snapshotEveryRecords",
    },
    { name: "publishSeconds", value: 60, unit: "s", source: "report.publishIntervalMs" },
];
