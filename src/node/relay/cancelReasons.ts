/** Reasons for which this VM aborts an attempt. */
export const cancelReasons = {
    deadlineExceeded: "deadline exceeded",
    callerDisconnected: "caller disconnected",
    upstreamSilent: "upstream was silent for too long; another one has taken the call",
    hedgeTookOver: "upstream was slow to answer; another one has taken the call",
    partQuarantined: "a part of its prompt has crashed upstreams and is quarantined",
    vmStopping: "this VM is stopping and its time of grace is over",
    replacementNotNeeded: "the attempt that it was to replace went on",
} as const;
