import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";

/** Time beyond the boot time by which an upstream that was ordered is expected in the list. */
const listingMs = 3_000;
const firstRetryMs = 500;
const maxRetryMs = 8_000;
const maxRepeatFactor = 8;

/** Upstreams of one kind in one availability zone: those that are listed, and those that were ordered. */
export class UpstreamGroup {
    ready = 0;
    draining = 0;
    /** Number in the last accepted order of this holder; without one, the number that was listed. */
    ordered = 0;
    /** No order before this time, as there are no such upstreams to be had. */
    refusedUntilMs = -Infinity;
    /** Last time at which the set of ready upstreams changed. */
    changedMs = -Infinity;
    private readyIds: ReadonlySet<string> = new Set();
    /** Whether upstreams of the group have been ready since the platform last took them away. */
    private hasServed = false;
    /** Highest number that was ready since the last accepted order. */
    private highestReady = 0;
    private hasOwnOrder = false;
    private orderedMs = -Infinity;
    /** Number in a lower order that had no reply and may have been carried out. */
    private unconfirmed: { readonly count: number; readonly atMs: number; } | undefined;
    private failures = 0;
    private retryAtMs = -Infinity;
    private repeats = 0;
    private refusals = 0;

    constructor(private readonly bootMs: number) {}

    /** Takes over the listed upstreams. Returns whether the platform has taken most of them away, which only happens to reclaimable ones. */
    observe(upstreams: readonly RelayUpstream[], isReclaimable: boolean, nowMs: number): boolean {
        const ready = upstreams.filter(({ isDraining }) => !isDraining);
        const ids = new Set(ready.map(({ id }) => id));
        if (ids.size !== this.readyIds.size || ready.some(({ id }) => !this.readyIds.has(id))) {
            this.changedMs = nowMs;
        }
        this.readyIds = ids;
        this.ready = ids.size;
        this.draining = upstreams.length - ids.size;
        // Until this holder has ordered, what is listed is what is wanted: an earlier holder or the operator may still be changing it.
        if (!this.hasOwnOrder && (this.ready > this.ordered || this.draining > 0)) {
            this.ordered = this.ready;
        }
        // The list shows that a lower order without a reply was carried out; it must not count as a loss.
        if (this.unconfirmed !== undefined && this.ready <= this.unconfirmed.count) {
            this.ordered = Math.min(this.ordered, this.unconfirmed.count);
            this.unconfirmed = undefined;
        }
        if (this.ready >= this.ordered) {
            this.repeats = 0;
        }
        if (this.unconfirmed !== undefined && nowMs - this.unconfirmed.atMs > this.pendingMs) {
            this.unconfirmed = undefined;
        }
        this.highestReady = Math.max(this.highestReady, this.ready);
        const isTakenAway = isReclaimable && this.hasOwnOrder && this.draining > 0 &&
            this.ready < Math.min(this.ordered, this.highestReady) / 2;
        this.hasServed = !isTakenAway && (this.hasServed || this.ready > 0);
        if (isTakenAway) {
            this.ordered = this.ready;
            this.highestReady = this.ready;
        }
        return isTakenAway;
    }

    /** Forgets the orders of an earlier time as the holder, and starts from what is listed. */
    reset(): void {
        this.ordered = this.ready;
        this.hasOwnOrder = false;
        this.unconfirmed = undefined;
        this.refusedUntilMs = -Infinity;
        this.failures = 0;
        this.retryAtMs = -Infinity;
        this.repeats = 0;
        this.refusals = 0;
    }

    /** Whether all have disappeared at once, as in a zone that is cut off: others there would not be seen either. */
    get isLost(): boolean {
        return this.hasServed && this.ordered > 0 && this.ready === 0 && this.draining === 0;
    }

    /** Number that serve and are to go on. */
    get serving(): number {
        return Math.min(this.ready, this.ordered, this.unconfirmed?.count ?? Infinity);
    }

    /** Number that serve or will do so soon; upstreams that crashed are replaced within the same time as new ones start. */
    countExpected(nowMs: number): number {
        const isAwaited = nowMs - Math.max(this.orderedMs, this.changedMs) < this.pendingMs;
        return this.ordered > this.ready && isAwaited && this.unconfirmed === undefined ? this.ordered : this.serving;
    }

    /** Whether this number may be ordered now; the same number as before only if upstreams are missing, and ever more rarely. */
    mayOrder(count: number, nowMs: number): boolean {
        if (nowMs < this.refusedUntilMs || nowMs < this.retryAtMs) {
            return false;
        }
        const factor = Math.min(maxRepeatFactor, 2 ** this.repeats);
        return count !== this.ordered || this.unconfirmed !== undefined || !this.hasOwnOrder ||
            nowMs - Math.max(this.orderedMs, this.changedMs) >= this.pendingMs * factor;
    }

    /** Whether upstreams have been missing for so long that their order has to be repeated. */
    isOverdue(nowMs: number): boolean {
        return this.hasOwnOrder && this.ready < this.ordered && this.countExpected(nowMs) < this.ordered &&
            this.mayOrder(this.ordered, nowMs);
    }

    recordAccepted(count: number, nowMs: number): void {
        this.repeats = this.hasOwnOrder && count === this.ordered ? this.repeats + 1 : 0;
        this.refusals = 0;
        this.ordered = count;
        this.highestReady = this.ready;
        this.hasOwnOrder = true;
        this.orderedMs = nowMs;
        this.unconfirmed = undefined;
        this.failures = 0;
        this.retryAtMs = -Infinity;
    }

    recordRefused(firstMs: number, maxMs: number, nowMs: number): void {
        this.refusals++;
        this.refusedUntilMs = nowMs + Math.min(maxMs, firstMs * 2 ** Math.max(0, this.refusals - 2));
        this.failures = 0;
    }

    recordFailed(count: number, nowMs: number): void {
        if (count < this.ready) {
            this.unconfirmed = { count, atMs: nowMs };
        }
        this.retryAtMs = nowMs + Math.min(maxRetryMs, firstRetryMs * 2 ** this.failures);
        this.failures++;
    }

    private get pendingMs(): number {
        return this.bootMs + listingMs;
    }
}
