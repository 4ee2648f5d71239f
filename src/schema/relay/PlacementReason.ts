import * as z from "zod";

/** Why a call goes where it goes. */
export const PlacementReason = z.enum(["least-loaded", "cached-prefix", "shorter-wait", "only-one"]);
export type PlacementReason = z.infer<typeof PlacementReason>;
