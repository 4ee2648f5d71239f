import { createHmac } from "node:crypto";
import type { PeerHello } from "../../schema/peer/PeerHello.js";

/**
 * Computes the HMAC with which one end of a connection proves that it holds the shared key. It covers the role, which prevents
 * reflection of a proof to its sender, and the nonces of both ends, which prevent replay. Returned as lower-case hex.
 */
export function computePeerProof(sharedKey: string, role: "dialer" | "acceptor", dialer: PeerHello, acceptor: PeerHello): string {
    const signedHellos = [dialer, acceptor].map(hello => [hello.protocolVersion, hello.vm, hello.incarnation, hello.nonce]);
    return createHmac("sha256", sharedKey).update(JSON.stringify([role, signedHellos])).digest("hex");
}
