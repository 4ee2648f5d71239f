import type { CallerLimits } from "./CallerLimits.js";

const mebibyte = 1024 * 1024;

/** Limits for small entry VMs. */
export const defaultCallerLimits: CallerLimits = {
    maxHeaderBytes: 16 * 1024,
    maxHeldBodyBytes: 4 * mebibyte,
    maxStreamedBodyBytes: 256 * mebibyte,
    headersTimeoutMs: 10_000,
    requestTimeoutMs: 120_000,
    plainSilenceLimitMs: 60_000,
    callerStallLimitMs: 120_000,
    maxAttempts: 4,
    maxRepeatableBodyBytes: 64 * 1024,
};
