import * as z from "zod";

/** First frame of the handshake, sent by the VM that was dialled. Contains no secrets. */
export const PeerHello = z.strictObject({
    protocolVersion: z.int(),
    vm: z.string().min(1).max(64),
    incarnation: z.string().min(1).max(64),
    nonce: z.string().length(32),
});
export type PeerHello = z.infer<typeof PeerHello>;
