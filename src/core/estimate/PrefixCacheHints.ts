interface PrefixOwner {
    upstreamId: string;
    seenMs: number;
}

/** Prompt tokens in one hashed block. */
const tokensPerBlock = 256;
const maxBlocks = 65_536;
const maxOwnersPerBlock = 3;
/** A block that was not seen for this long is taken as evicted. */
const hintLifetimeMs = 120_000;

/** Guesses which engines hold which prompt blocks, from where requests went; engines evict without telling, so it is a hint. */
export class PrefixCacheHints {
    private readonly owners = new Map<number, PrefixOwner[]>();

    static get tokensPerBlock(): number {
        return tokensPerBlock;
    }

    /** A request with these blocks ran on this engine. */
    recordPrefix(prefixHashes: readonly number[], upstreamId: string, nowMs: number): void {
        for (const hash of prefixHashes) {
            const owners = this.owners.get(hash);
            if (owners === undefined) {
                this.owners.set(hash, [{ upstreamId, seenMs: nowMs }]);
            }
            else {
                refreshOwner(owners, upstreamId, nowMs);
            }
        }
        while (this.owners.size > maxBlocks) {
            this.owners.delete(this.owners.keys().next().value as number);
        }
    }

    /** The engine said, or showed by reading the prompt again, that it no longer has these blocks. */
    invalidate(prefixHashes: readonly number[], upstreamId: string): void {
        for (const hash of prefixHashes) {
            const rest = (this.owners.get(hash) ?? []).filter(owner => owner.upstreamId !== upstreamId);
            if (rest.length > 0) {
                this.owners.set(hash, rest);
            }
            else {
                this.owners.delete(hash);
            }
        }
    }

    /** Prompt tokens of the leading blocks that this engine likely holds. */
    cachedTokens(prefixHashes: readonly number[], upstreamId: string, nowMs: number): number {
        let blocks = 0;
        for (const hash of prefixHashes) {
            if (!this.holds(hash, upstreamId, nowMs)) {
                break;
            }
            blocks++;
        }
        return blocks * tokensPerBlock;
    }

    private holds(hash: number, upstreamId: string, nowMs: number): boolean {
        const owners = this.owners.get(hash);
        if (owners === undefined) {
            return false;
        }
        for (const owner of owners) {
            if (owner.upstreamId === upstreamId) {
                return nowMs - owner.seenMs < hintLifetimeMs;
            }
        }
        return false;
    }
}

/** Renews the engine's entry, or puts it in place of the oldest one. */
function refreshOwner(owners: PrefixOwner[], upstreamId: string, nowMs: number): void {
    let oldest = owners[0] as PrefixOwner;
    for (const owner of owners) {
        if (owner.upstreamId === upstreamId) {
            owner.seenMs = nowMs;
            return;
        }
        oldest = owner.seenMs < oldest.seenMs ? owner : oldest;
    }
    if (owners.length < maxOwnersPerBlock) {
        owners.push({ upstreamId, seenMs: nowMs });
        return;
    }
    oldest.upstreamId = upstreamId;
    oldest.seenMs = nowMs;
}
