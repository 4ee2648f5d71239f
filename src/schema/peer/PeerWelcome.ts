import * as z from "zod";

/** Third frame of the handshake: the VM that was dialled proves in turn that it holds the shared key. */
export const PeerWelcome = z.strictObject({ proof: z.string().length(64) });
export type PeerWelcome = z.infer<typeof PeerWelcome>;
