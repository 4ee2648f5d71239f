import type { CallerLimits } from "./CallerLimits.js";

const bytesPerMebibyte = 1024 * 1024;

/** Default limits, sized for small entry VMs. */
export const defaultCallerLimits: CallerLimits = {
    maxHeaderBytes: 16 * 1024,
    maxBufferedBodyBytes: 4 * bytesPerMebibyte,
    maxStreamedBodyBytes: 256 * bytesPerMebibyte,
    headersTimeoutMs: 10_000,
    requestTimeoutMs: 120_000,
    plainIdleTimeoutMs: 60_000,
    callerStallTimeoutMs: 120_000,
    maxAttempts: 4,
    maxRetryableBodyBytes: 64 * 1024,
};
