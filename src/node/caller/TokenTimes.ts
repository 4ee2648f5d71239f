/** When the tokens of one answer arrived. All times in milliseconds on the monotonic clock. */
export class TokenTimes {
    firstTokenAtMs: number | undefined;
    maxGapMs: number | undefined;
    tokens = 0;
    private lastTokenAtMs = 0;

    /** Notes that `tokenCount` tokens arrived together. */
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

    /** Counts the tokens anew; the times stay, as they are what the caller sees. */
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
