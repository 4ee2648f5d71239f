/** Incremented with every change to peer messages that an older VM cannot decode. */
export const peerProtocolVersion = 1;
