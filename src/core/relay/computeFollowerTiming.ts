interface FollowerTiming {
    /** Longest wait of one read for configuration changes. */
    readonly configReadWaitMs: number;
    /** Pause between reads of the upstream list, which upstreams write to all the time. */
    readonly upstreamsReadPauseMs: number;
    /** A VM that is not the reader reads the log when it has heard from no reader for this long, plus a delay for each rank. */
    readonly baseSilenceTimeoutMs: number;
    readonly silenceTimeoutPerRankMs: number;
}

/** Shares of the time limit for a change; the last VM has waited for a reader for three quarters of it when it reads for itself. */
const configReadWaitShare = 0.25;
const upstreamsReadPauseShare = 0.3;
const baseSilenceTimeoutShare = 0.55;
const silenceTimeoutPerRankShare = 0.05;
/** Shortest time limit that is followed; each VM of a fleet with a shorter one would read the log all the time. */
const minChangeLimitMs = 1_000;

/**
 * Computes how often the platform's log is read, so that each VM applies a change within `changeLimitMs` also when the reader of the fleet
 * stops, and no more often, as each read has a price.
 */
export function computeFollowerTiming(changeLimitMs: number): FollowerTiming {
    const limitMs = Math.max(minChangeLimitMs, changeLimitMs);
    return {
        configReadWaitMs: limitMs * configReadWaitShare,
        upstreamsReadPauseMs: limitMs * upstreamsReadPauseShare,
        baseSilenceTimeoutMs: limitMs * baseSilenceTimeoutShare,
        silenceTimeoutPerRankMs: limitMs * silenceTimeoutPerRankShare,
    };
}
