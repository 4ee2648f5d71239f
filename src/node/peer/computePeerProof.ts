import { createHmac } from "node:crypto";
import type { PeerHello } from "../../schema/peer/PeerHello.js";

/**
 * HMAC by which one end shows that it holds the shared key. The role keeps a proof from being reflected to its sender, and both
 * nonces keep it from being replayed.
 */
export function computePeerProof(sharedKey: string, role: "dialer" | "acceptor", dialer: PeerHello, acceptor: PeerHello): string {
    const introductions = [dialer, acceptor].map(hello => [hello.protocolVersion, hello.vm, hello.incarnation, hello.nonce]);
    return createHmac("sha256", sharedKey).update(JSON.stringify([role, introductions])).digest("hex");
}
