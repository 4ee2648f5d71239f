import * as z from "zod";
import { ModelPlacement } from "./ModelPlacement.js";
import { Upstream } from "./Upstream.js";

/** A pool of interchangeable upstreams that serve the same services on one path. */
export const Pool = z.strictObject({
    name: z.string().min(1).max(64),
    path: z.enum(["old", "new"]),
    kind: z.enum(["engine", "plain"]),
    /** Model names for engines, service names for plain upstreams. */
    services: z.array(z.string().min(1)).min(1),
    upstreams: z.array(Upstream).max(2000),
    /** Whether calls are idempotent and may be retried: completions are, bookings are not. */
    repeatable: z.boolean(),
    /** Whether the upstreams deduplicate calls by idempotency key. */
    deduplicatesByKey: z.boolean().default(false),
    /** Whether the upstreams reject orders with an outdated fencing number. */
    checksFencing: z.boolean().default(false),
    /** Maximum number of in-flight requests per upstream. */
    maxInFlight: z.int().positive().default(16),
    placements: z.array(ModelPlacement).default([]),
});
export type Pool = z.infer<typeof Pool>;
