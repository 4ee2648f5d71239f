interface BlockHolder {
    upstreamId: string;
    lastSeenAtMs: number;
}

/** Prompt tokens per hashed block. */
const tokensPerBlock = 256;
/** Bound on the blocks tracked; the one recorded first is evicted first. */
const maxBlocks = 65_536;
const maxHoldersPerBlock = 3;
/** A block without a request on the engine for this long is assumed to be evicted. */
const hintLifetimeMs = 120_000;

/** Infers from past requests which engines are likely to hold which prompt blocks. These are hints only, as engines evict without notice. */
export class PrefixCacheHints {
    private readonly holders = new Map<number, BlockHolder[]>();

    /** Prompt tokens per hashed block. */
    static get tokensPerBlock(): number {
        return tokensPerBlock;
    }

    /** Records that a request with these blocks ran on this engine. */
    recordPrefix(prefixHashes: readonly number[], upstreamId: string, nowMs: number): void {
        for (const hash of prefixHashes) {
            const holders = this.holders.get(hash);
            if (holders === undefined) {
                this.holders.set(hash, [{ upstreamId, lastSeenAtMs: nowMs }]);
            }
            else {
                refreshHolder(holders, upstreamId, nowMs);
            }
        }
        while (this.holders.size > maxBlocks) {
            this.holders.delete(this.holders.keys().next().value as number);
        }
    }

    /** Removes the hints for these blocks, after the engine reported them missing or was observed to prefill the prompt again. */
    invalidate(prefixHashes: readonly number[], upstreamId: string): void {
        for (const hash of prefixHashes) {
            const remaining = (this.holders.get(hash) ?? []).filter(holder => holder.upstreamId !== upstreamId);
            if (remaining.length > 0) {
                this.holders.set(hash, remaining);
            }
            else {
                this.holders.delete(hash);
            }
        }
    }

    /** Prompt tokens in the leading blocks that this engine is likely to hold. */
    cachedTokens(prefixHashes: readonly number[], upstreamId: string, nowMs: number): number {
        let blocks = 0;
        for (const hash of prefixHashes) {
            if (!this.hasBlock(hash, upstreamId, nowMs)) {
                break;
            }
            blocks++;
        }
        return blocks * tokensPerBlock;
    }

    private hasBlock(hash: number, upstreamId: string, nowMs: number): boolean {
        const holders = this.holders.get(hash);
        if (holders === undefined) {
            return false;
        }
        for (const holder of holders) {
            if (holder.upstreamId === upstreamId) {
                return nowMs - holder.lastSeenAtMs < hintLifetimeMs;
            }
        }
        return false;
    }
}

/** Refreshes the engine's entry or adds it; replaces the oldest entry when the block has `maxHoldersPerBlock` already. */
function refreshHolder(holders: BlockHolder[], upstreamId: string, nowMs: number): void {
    let oldest = holders[0] as BlockHolder;
    for (const holder of holders) {
        if (holder.upstreamId === upstreamId) {
            holder.lastSeenAtMs = nowMs;
            return;
        }
        oldest = holder.lastSeenAtMs < oldest.lastSeenAtMs ? holder : oldest;
    }
    if (holders.length < maxHoldersPerBlock) {
        holders.push({ upstreamId, lastSeenAtMs: nowMs });
        return;
    }
    oldest.upstreamId = upstreamId;
    oldest.lastSeenAtMs = nowMs;
}
