import { z } from "zod";
import { ServiceLevel } from "./ServiceLevel.js";

/** What the fleet did against its classes' targets, and which VMs' counts are in it. */
export const ServiceLevelReport = z.object({
    generatedAtMs: z.number(),
    sinceAtMs: z.number(),
    vms: z.array(z.string()),
    /** VMs that did not answer: theirs is in only as far as they had published it. */
    silentVms: z.array(z.string()),
    levels: z.array(ServiceLevel),
});
export type ServiceLevelReport = z.infer<typeof ServiceLevelReport>;
