import * as z from "zod";

/** The platform's list of VMs and upstreams, which may be out of date. */
export const VmList = z.object({
    vms: z.array(z.object({
        vm: z.string().min(1),
        availabilityZone: z.string().min(1),
        /** WebSocket URL of the VM's peer listener. */
        peerUrl: z.url(),
        leaving: z.boolean(),
    })),
    upstreams: z.array(z.object({ id: z.string().min(1), leaving: z.boolean() })),
});
export type VmList = z.infer<typeof VmList>;
