import * as z from "zod";
import { ServiceLevel } from "./ServiceLevel.js";

/** What the fleet did against its classes' targets, and which VMs' counts are in it. */
export const ServiceLevelReport = z.object({
    generatedAtMs: z.number(),
    sinceAtMs: z.number(),
    vms: z.array(z.string()),
    /** VMs that did not answer: theirs is in only as far as they had published it. */
    silentVms: z.array(z.string()),
    levels: z.array(ServiceLevel),
    /** Everything published on the log has been read. When false, counts of VMs that are gone may be missing. */
    logRead: z.boolean(),
});
export type ServiceLevelReport = z.infer<typeof ServiceLevelReport>;
