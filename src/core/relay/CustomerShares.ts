import { SlidingWindow } from "../limits/SlidingWindow.js";

/** Window of the present use: long enough for some calls of each customer, short against the bursts of some seconds. */
const recentSeconds = 3;
/** The usual use is not known before a VM has seen calls for this long, so no customer is over its share until then. */
const minKnownMs = 10_000;
/** A customer is over its share above this multiple of it; below, a few large prompts within the window would put one over. */
const maxShareFactor = 1.5;
const maxCustomers = 1_024;
/** Interval at which the customers are counted. */
const countIntervalMs = 250;

interface Use {
    readonly recent: SlidingWindow;
    readonly usual: SlidingWindow;
}

/**
 * Tracks what the calls of each customer within one tier rank cost. The fair share of a customer is its share of the cost of the last
 * minute, and at least an equal share, so that a customer that grows pays for that and one that is always large does not.
 */
export class CustomerShares {
    private readonly customers = new Map<string, Use>();
    private readonly total: Use;
    private readonly startedMs: number;
    private activeCount = 1;
    private overCount = 0;
    private countedMs = -Infinity;

    constructor(nowMs: number) {
        this.startedMs = nowMs;
        this.total = createUse(nowMs);
    }

    /** Adds the cost of a call. Returns whether its customer is now over its fair share. */
    add(customer: string, cost: number, nowMs: number): boolean {
        let use = this.customers.get(customer);
        if (use === undefined) {
            use = createUse(nowMs);
            this.customers.set(customer, use);
            const [oldest] = this.customers.keys();
            if (this.customers.size > maxCustomers && oldest !== undefined) {
                this.customers.delete(oldest);
            }
        }
        for (const window of [use.recent, use.usual, this.total.recent, this.total.usual]) {
            window.add(cost, nowMs);
        }
        this.count(nowMs);
        return this.isOver(use, nowMs);
    }

    /** Number of customers over their fair share. */
    countOver(nowMs: number): number {
        this.count(nowMs);
        return this.overCount;
    }

    private isOver({ recent, usual }: Use, nowMs: number): boolean {
        if (nowMs - this.startedMs < minKnownMs) {
            return false;
        }
        const recentShare = recent.sum(nowMs) / this.total.recent.sum(nowMs);
        const usualShare = usual.sum(nowMs) / this.total.usual.sum(nowMs);
        return recentShare > maxShareFactor * Math.max(1 / this.activeCount, usualShare);
    }

    private count(nowMs: number): void {
        if (nowMs - this.countedMs >= countIntervalMs) {
            this.countedMs = nowMs;
            const uses = [...this.customers.values()];
            this.activeCount = Math.max(1, uses.filter(({ usual }) => usual.sum(nowMs) > 0).length);
            this.overCount = uses.filter(use => this.isOver(use, nowMs)).length;
        }
    }
}

function createUse(nowMs: number): Use {
    return { recent: new SlidingWindow(nowMs, recentSeconds), usual: new SlidingWindow(nowMs) };
}
