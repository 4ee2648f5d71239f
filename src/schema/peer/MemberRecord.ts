import * as z from "zod";

/** A VM's record of itself. Of two records of one VM, the one with the newer incarnation wins, then the one with the higher version. */
export const MemberRecord = z.object({
    vm: z.string().min(1).max(64),
    incarnation: z.string().min(1).max(64),
    version: z.int().min(0),
    availabilityZone: z.string().max(64),
    region: z.string().max(64),
    peerUrl: z.string().max(256),
    /** Processor time that the VM may use, in cores. */
    processorShare: z.number().min(0).default(1),
    state: z.enum(["ready", "starting", "draining"]),
    /** Availability zones that this VM, as a representative of its own zone, has no bidirectional contact with. */
    unreachableZones: z.array(z.string().max(64)).max(64),
});
export type MemberRecord = z.infer<typeof MemberRecord>;
