/**
 * Limits on what callers and other clients can make a VM hold. None of them is met by a client that keeps the limits on heads, bodies and idle
 * connections while the VM has room.
 */
export const callerLoadLimits = {
    /** Memory and descriptors of a VM whose settings give none. */
    defaultMemoryBytes: 512_000_000,
    defaultDescriptors: 65_536,
    /** Resident memory of a VM without calls; 65 to 88 MB were measured. */
    restBytes: 90_000_000,
    /** Share of the memory above that; the rest is for garbage that has not been collected and for buffers of Node.js. */
    budgetShare: 0.25,
    /** Smallest budget: a body of 4 MiB must fit several times. */
    minBudgetBytes: 16 * 1024 * 1024,
    /** What a request takes besides its body, and each field of its head, rounded up: 300 sent ahead took over 4 KB each without their calls. */
    requestBytes: 16_384,
    fieldBytes: 200,
    /** More fields than a head of 16,384 bytes can have, as the shortest takes four bytes. */
    maxHeaderFields: 4_100,
    /** Bytes of bodies after whose arrival the buffers that they came in are collected; they would pile up until a collection of the whole heap. */
    collectAfterBytes: 16 * 1024 * 1024,
    /** Requests beyond `maxWaitingRequests` of their connections after which what they have left is collected. */
    collectAfterExcessRequests: 1_000,
    /** Requests on one connection whose responses are not complete, from which on no more is read from it. */
    maxWaitingRequests: 64,
    /** What has been read already is parsed, up to so many requests; a connection with more of them is closed. */
    maxParsedRequests: 128,
    /** Bodies of refused requests are read to their end for up to this time before the refusal is sent, so that the connection can be reused. */
    discardMs: 3_000,
    /** After the refusal, its connection is closed when the body goes on for longer or is larger, or nothing arrives. */
    drainMs: 30_000,
    drainIdleMs: 3_000,
    drainBytes: 64 * 1024 * 1024,
    /** A body that is not complete at the deadline of its call is refused when nothing of it arrives for this long, */
    bodyIdleMs: 10_000,
    /** or when it has taken longer than `bodyGraceMs` plus the time that its bytes take at this rate. */
    bodyGraceMs: 30_000,
    minBodyBytesPerMs: 1,
    /**
     * A connection is closed when no byte of a response can be handed to the kernel for this long. Buffers of the kernels (4 and 6 MiB by default) and one write
     * may hold 14 MB, which a caller that reads at 16 kB/s has read by then. Unread bytes are evicted earlier when memory is short.
     */
    unreadIdleMs: 900_000,
    /** Descriptors that are kept for files. */
    fileDescriptors: 200,
    /** Shares of the other descriptors. The rest is for links between VMs, the store and idle connections to upstreams. */
    callerDescriptorShare: 0.45,
    callDescriptorShare: 0.2,
    probeDescriptorShare: 0.04,
    maxProbeConnections: 64,
    /** Requests on one connection to the probe or metrics port whose responses are not complete; more close it. */
    maxWaitingProbes: 8,
    /** Delay after which a call that was refused for lack of room may come back. */
    retryAfterMs: 500,
};
