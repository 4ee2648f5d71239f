import * as z from "zod";
import { ServiceLevelInterval } from "./ServiceLevelInterval.js";

/** One record of the report stream. Records may be duplicated: VM, incarnation and start time identify an interval. */
export const PublishedIntervals = z.object({
    formatVersion: z.literal(1),
    vm: z.string(),
    incarnation: z.string(),
    intervals: z.array(ServiceLevelInterval),
});
export type PublishedIntervals = z.infer<typeof PublishedIntervals>;
