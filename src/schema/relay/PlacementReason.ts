import * as z from "zod";

/** Why an upstream was chosen for a call. */
export const PlacementReason = z.enum(["least-loaded", "cached-prefix", "shorter-wait", "only-one"]);
export type PlacementReason = z.infer<typeof PlacementReason>;
