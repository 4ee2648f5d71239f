import * as z from "zod";
import { ServiceLevelCell } from "./ServiceLevelCell.js";

/** Service-level cells of one VM for one period of time. */
export const ServiceLevelInterval = z.object({
    /** Wall-clock time in milliseconds since the epoch, aligned to the duration. */
    startAtMs: z.number(),
    durationMs: z.number().positive(),
    cells: z.array(ServiceLevelCell),
});
export type ServiceLevelInterval = z.infer<typeof ServiceLevelInterval>;
