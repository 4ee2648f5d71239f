import * as z from "zod";
import { PeerHello } from "./PeerHello.js";

/** Second frame: the dialler introduces itself and proves that it holds the shared key. */
export const PeerHelloAnswer = PeerHello.extend({
    /** Of two connections between a pair of VMs the one with the higher generation is used. */
    generation: z.int().min(0),
    /** Lower-case hex HMAC over both introductions. */
    proof: z.string().length(64),
});
export type PeerHelloAnswer = z.infer<typeof PeerHelloAnswer>;
