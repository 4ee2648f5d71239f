import * as z from "zod";

/** What a VM says of itself. Of two records of one VM the newer incarnation goes first, then the higher version. */
export const MemberRecord = z.object({
    vm: z.string().min(1).max(64),
    incarnation: z.string().min(1).max(64),
    version: z.int().min(0),
    availabilityZone: z.string().max(64),
    region: z.string().max(64),
    peerUrl: z.string().max(256),
    state: z.enum(["ready", "starting", "draining"]),
    /** Zones of which this VM, as a representative of its own, hears nothing. */
    unreachableZones: z.array(z.string().max(64)).max(64),
});
export type MemberRecord = z.infer<typeof MemberRecord>;
