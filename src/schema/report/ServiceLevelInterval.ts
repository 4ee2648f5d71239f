import * as z from "zod";
import { ServiceLevelCell } from "./ServiceLevelCell.js";

/** Counts of one span of time on one VM. */
export const ServiceLevelInterval = z.object({
    /** Wall-clock time, aligned to the duration. */
    startAtMs: z.number(),
    durationMs: z.number().positive(),
    cells: z.array(ServiceLevelCell),
});
export type ServiceLevelInterval = z.infer<typeof ServiceLevelInterval>;
