import * as z from "zod";
import { ServiceLevel } from "./ServiceLevel.js";

/** Service levels of the fleet, with the VMs whose counts are included. */
export const ServiceLevelReport = z.object({
    generatedAtMs: z.number(),
    sinceAtMs: z.number(),
    vms: z.array(z.string()),
    /** VMs that did not respond; only the intervals that they had published are included. */
    silentVms: z.array(z.string()),
    levels: z.array(ServiceLevel),
    /** Whether all published intervals have been read from the log. If false, counts of VMs that are gone may be missing. */
    logRead: z.boolean(),
});
export type ServiceLevelReport = z.infer<typeof ServiceLevelReport>;
