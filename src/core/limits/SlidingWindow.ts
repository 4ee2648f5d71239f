import { quotaWindowSeconds } from "./quotaWindowSeconds.js";

const slotMs = 250;
const slotsPerSecond = 4;

/** Sum of amounts over the last minute, or another window, kept in slots of 250 ms: an amount counts for 60 to 60.25 s. */
export class SlidingWindow {
    /** Sum over the window as of the last call. */
    total = 0;
    private readonly slots: Float64Array;
    private currentSlot: number;

    constructor(nowMs: number, private readonly windowSeconds = quotaWindowSeconds) {
        this.slots = new Float64Array(windowSeconds * slotsPerSecond + 1);
        this.currentSlot = Math.floor(nowMs / slotMs);
    }

    /** Adds an amount used `ageSeconds` ago, ignored when older than the window. A correction may be negative. */
    add(amount: number, nowMs: number, ageSeconds = 0): void {
        this.advanceTo(nowMs);
        if (ageSeconds <= this.windowSeconds) {
            const index = this.getSlotIndex(this.currentSlot - ageSeconds * slotsPerSecond);
            this.slots[index] = (this.slots[index] ?? 0) + amount;
            this.total += amount;
        }
    }

    /** Sum over the window that ends now. */
    sum(nowMs: number): number {
        this.advanceTo(nowMs);
        return this.total;
    }

    /** Amounts per second of age, newest first. */
    getAmountsPerSecond(nowMs: number): number[] {
        this.advanceTo(nowMs);
        const amounts = new Array<number>(this.windowSeconds).fill(0);
        for (let age = 0; age < this.slots.length - 1; age++) {
            const second = Math.floor(age / slotsPerSecond);
            amounts[second] = (amounts[second] ?? 0) + (this.slots[this.getSlotIndex(this.currentSlot - age)] ?? 0);
        }
        return amounts;
    }

    private advanceTo(nowMs: number): void {
        const slot = Math.floor(nowMs / slotMs);
        const steps = Math.min(slot - this.currentSlot, this.slots.length);
        for (let step = 1; step <= steps; step++) {
            const index = this.getSlotIndex(slot - steps + step);
            this.total -= this.slots[index] ?? 0;
            this.slots[index] = 0;
        }
        if (steps > 0) {
            this.currentSlot = slot;
        }
    }

    private getSlotIndex(slot: number): number {
        const { length } = this.slots;
        return ((slot % length) + length) % length;
    }
}
