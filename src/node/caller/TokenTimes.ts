/** Arrival times and count of the tokens of one response or attempt. Times are on the monotonic clock. */
export class TokenTimes {
    firstTokenAtMs: number | undefined;
    maxGapMs: number | undefined;
    tokens = 0;
    private lastTokenAtMs = 0;

    /** Records the arrival of `tokenCount` tokens at once. */
    add(nowMs: number, tokenCount: number): void {
        if (this.firstTokenAtMs === undefined) {
            this.firstTokenAtMs = nowMs;
        }
        else {
            this.maxGapMs = Math.max(this.maxGapMs ?? 0, nowMs - this.lastTokenAtMs);
        }
        this.lastTokenAtMs = nowMs;
        this.tokens += tokenCount;
    }

    /** Resets the token count. The times stay, since they describe what the caller sees. */
    resetCount(): void {
        this.tokens = 0;
    }

    get meanGapMs(): number | undefined {
        if (this.firstTokenAtMs === undefined || this.tokens < 2) {
            return undefined;
        }
        return (this.lastTokenAtMs - this.firstTokenAtMs) / (this.tokens - 1);
    }
}
