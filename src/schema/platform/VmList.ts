import * as z from "zod";

/** The platform's list of VMs and upstreams, which lags behind what is so. */
export const VmList = z.object({
    vms: z.array(z.object({
        vm: z.string().min(1),
        availabilityZone: z.string().min(1),
        /** WebSocket URL for peers. */
        peerUrl: z.url(),
        leaving: z.boolean(),
    })),
    upstreams: z.array(z.object({ id: z.string().min(1), leaving: z.boolean() })),
});
export type VmList = z.infer<typeof VmList>;
