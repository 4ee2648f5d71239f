import * as z from "zod";
import { ModelPlacement } from "./ModelPlacement.js";
import { Upstream } from "./Upstream.js";

/** A pool of upstreams that serve the same services on one path. */
export const Pool = z.strictObject({
    name: z.string().min(1).max(64),
    path: z.enum(["old", "new"]),
    kind: z.enum(["engine", "plain"]),
    /** Model names for engines, service names for plain upstreams. */
    services: z.array(z.string().min(1)).min(1),
    upstreams: z.array(Upstream).max(2000),
    /** Calls may be repeated (idempotent): engine completions are, bookings are not. */
    repeatable: z.boolean(),
    /** The upstreams themselves deduplicate calls by idempotency key. */
    deduplicatesByKey: z.boolean().default(false),
    /** The upstreams refuse an order that carries an old fencing number. */
    checksFencing: z.boolean().default(false),
    /** Most requests in flight on one upstream. */
    maxInFlight: z.int().positive().default(16),
    placements: z.array(ModelPlacement).default([]),
});
export type Pool = z.infer<typeof Pool>;
