import * as z from "zod";

/** Settings of the configuration streams. */
export const ConfigSettings = z.strictObject({
    /** Stream that operators' changes are published on. */
    stream: z.string().default("config"),
    snapshotStream: z.string().default("config-snapshots"),
    /** A snapshot is written after so many records, and whenever the last one is `snapshotPeriodMs` old. */
    snapshotEveryRecords: z.int().positive().default(2_000),
    /** Must be well below the time that the log keeps records. */
    snapshotPeriodMs: z.number().positive().default(6 * 3_600_000),
    /**
     * Availability zones that the fleet runs in. A change is accepted only when each of them has confirmed it, also when this VM
     * started after one of them was cut off. Zones that are not named count from when this VM has seen them.
     */
    zones: z.array(z.string()).default([]),
    /** A zone that is not named and went away without being drained counts as cut off, and as not having confirmed changes, for so long. */
    zoneMemoryMs: z.number().positive().default(600_000),
});
export type ConfigSettings = z.infer<typeof ConfigSettings>;
