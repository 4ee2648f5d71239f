import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";
import type { EventRecorder } from "../services/EventRecorder.js";

/** Estimated memory of an event without its facts and strings. */
const eventOverheadBytes = 256;
/** Estimated memory of a fact without its text. */
const factOverheadBytes = 32;
const bytesPerCharacter = 2;

/**
 * Ring buffer of the latest decisions of this VM, bounded by their estimated size in bytes. Events are stored unencoded: encoding
 * one costs several times more than storing it, and few are ever looked up. Look-ups scan the ring.
 */
export class EventRing implements EventRecorder {
    private readonly slots: (DecisionEvent | undefined)[];
    private readonly slotBytes: Uint32Array;
    private firstIndex = 0;
    private count = 0;
    private usedBytes = 0;

    constructor(private readonly maxBytes: number) {
        const capacity = Math.max(1, Math.floor(maxBytes / eventOverheadBytes));
        this.slots = Array<DecisionEvent | undefined>(capacity).fill(undefined);
        this.slotBytes = new Uint32Array(capacity);
    }

    /** Estimated memory of the stored events. */
    get sizeBytes(): number {
        return this.usedBytes;
    }

    /** Stores an event and evicts the oldest ones to make room. An event larger than the whole ring is dropped. */
    record(event: DecisionEvent): void {
        const sizeBytes = estimateBytes(event);
        if (sizeBytes > this.maxBytes) {
            return;
        }
        while (this.count === this.slots.length || this.usedBytes + sizeBytes > this.maxBytes) {
            this.evictOldest();
        }
        const slot = (this.firstIndex + this.count) % this.slots.length;
        this.slots[slot] = event;
        this.slotBytes[slot] = sizeBytes;
        this.count++;
        this.usedBytes += sizeBytes;
    }

    /** Returns the latest `maxEvents` events for which `isMatch` returns true, oldest first. */
    find(isMatch: (event: DecisionEvent) => boolean, maxEvents: number): DecisionEvent[] {
        const found: DecisionEvent[] = [];
        for (let index = this.count - 1; index >= 0 && found.length < maxEvents; index--) {
            const event = this.slots[(this.firstIndex + index) % this.slots.length];
            if (event !== undefined && isMatch(event)) {
                found.push(event);
            }
        }
        return found.reverse();
    }

    private evictOldest(): void {
        this.usedBytes -= this.slotBytes[this.firstIndex] ?? 0;
        this.slots[this.firstIndex] = undefined;
        this.firstIndex = (this.firstIndex + 1) % this.slots.length;
        this.count--;
    }
}

function estimateBytes(event: DecisionEvent): number {
    let sizeBytes = eventOverheadBytes + event.subject.length * bytesPerCharacter;
    for (const name in event.facts) {
        const value = event.facts[name];
        sizeBytes += factOverheadBytes + (typeof value === "string" ? value.length * bytesPerCharacter : 0);
    }
    return sizeBytes;
}
