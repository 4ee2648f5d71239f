import { quotaWindowSeconds } from "./quotaWindowSeconds.js";

const slotMs = 250;
const slotsPerSecond = 4;
const slotCount = quotaWindowSeconds * slotsPerSecond;

/** Sum of amounts over the last minute, kept by quarters of a second: an amount counts for 60 to 60.25 s. */
export class SlidingWindow {
    /** Sum over the window as of the last call. */
    total = 0;
    private readonly slots = new Float64Array(slotCount + 1);
    private currentSlot: number;

    constructor(nowMs: number) {
        this.currentSlot = Math.floor(nowMs / slotMs);
    }

    /** Adds an amount that was used `ageSeconds` ago. It may be negative, for a correction. */
    add(amount: number, nowMs: number, ageSeconds = 0): void {
        this.moveTo(nowMs);
        if (ageSeconds <= quotaWindowSeconds) {
            const index = this.indexOf(this.currentSlot - ageSeconds * slotsPerSecond);
            this.slots[index] = (this.slots[index] ?? 0) + amount;
            this.total += amount;
        }
    }

    sum(nowMs: number): number {
        this.moveTo(nowMs);
        return this.total;
    }

    /** Amounts by second, newest first. */
    history(nowMs: number): number[] {
        this.moveTo(nowMs);
        const amounts = new Array<number>(quotaWindowSeconds).fill(0);
        for (let age = 0; age < slotCount; age++) {
            const second = Math.floor(age / slotsPerSecond);
            amounts[second] = (amounts[second] ?? 0) + (this.slots[this.indexOf(this.currentSlot - age)] ?? 0);
        }
        return amounts;
    }

    private moveTo(nowMs: number): void {
        const slot = Math.floor(nowMs / slotMs);
        const steps = Math.min(slot - this.currentSlot, slotCount + 1);
        for (let step = 1; step <= steps; step++) {
            const index = this.indexOf(slot - steps + step);
            this.total -= this.slots[index] ?? 0;
            this.slots[index] = 0;
        }
        if (steps > 0) {
            this.currentSlot = slot;
        }
    }

    private indexOf(slot: number): number {
        const length = slotCount + 1;
        return ((slot % length) + length) % length;
    }
}
