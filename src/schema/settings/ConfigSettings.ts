import * as z from "zod";

/** Settings for the configuration streams. */
export const ConfigSettings = z.strictObject({
    /** Log stream to which operators' changes are published. */
    stream: z.string().default("config"),
    snapshotStream: z.string().default("config-snapshots"),
    /** A snapshot is written after this number of records, or when the last one is `snapshotPeriodMs` old. */
    snapshotEveryRecords: z.int().positive().default(2_000),
    /** Must be well below the log's retention. */
    snapshotPeriodMs: z.number().positive().default(6 * 3_600_000),
    /**
     * Availability zones of the fleet. A change is accepted only once each of them has confirmed it, even if a zone was already
     * unreachable when this VM started. A zone that is not listed is required from when this VM first sees a member of it.
     */
    zones: z.array(z.string()).default([]),
    /** How long a zone that is not listed and disappeared without draining counts as unreachable and must still confirm changes. */
    zoneMemoryMs: z.number().positive().default(600_000),
});
export type ConfigSettings = z.infer<typeof ConfigSettings>;
