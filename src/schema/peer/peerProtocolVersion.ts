/** Raised with every change of peer messages that an older VM could not read. */
export const peerProtocolVersion = 1;
