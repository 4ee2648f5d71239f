import * as z from "zod";
import { PeerHello } from "./PeerHello.js";

/** Second frame of the handshake: the dialler identifies itself and proves that it holds the shared key. */
export const PeerHelloAnswer = PeerHello.extend({
    /** Of two connections between a pair of VMs, the one with the higher generation is used. */
    generation: z.int().min(0),
    /** HMAC over the role and the `PeerHello` fields of both VMs, in lower-case hex. */
    proof: z.string().length(64),
});
export type PeerHelloAnswer = z.infer<typeof PeerHelloAnswer>;
