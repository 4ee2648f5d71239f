import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";
import type { EventRecorder } from "../services/EventRecorder.js";

/** Memory of an event without facts and strings, and of a fact beside its text. */
const eventBytes = 256;
const factBytes = 32;
const bytesPerCharacter = 2;

/**
 * Keeps the latest decisions of this VM within a fixed size. Events are kept as they are: encoding each one costs several times
 * more than keeping it, and few are ever looked up. Look-ups scan the ring.
 */
export class EventRing implements EventRecorder {
    private readonly slots: (DecisionEvent | undefined)[];
    private readonly sizes: Uint32Array;
    private first = 0;
    private count = 0;
    private usedBytes = 0;

    constructor(private readonly ringBytes: number) {
        const capacity = Math.max(1, Math.floor(ringBytes / eventBytes));
        this.slots = Array<DecisionEvent | undefined>(capacity).fill(undefined);
        this.sizes = new Uint32Array(capacity);
    }

    get sizeBytes(): number {
        return this.usedBytes;
    }

    record(event: DecisionEvent): void {
        const sizeBytes = sizeOf(event);
        if (sizeBytes > this.ringBytes) {
            return;
        }
        while (this.count === this.slots.length || this.usedBytes + sizeBytes > this.ringBytes) {
            this.dropFirst();
        }
        const slot = (this.first + this.count) % this.slots.length;
        this.slots[slot] = event;
        this.sizes[slot] = sizeBytes;
        this.count++;
        this.usedBytes += sizeBytes;
    }

    /** The latest `maxEvents` events that `isWanted` accepts, oldest first. */
    find(isWanted: (event: DecisionEvent) => boolean, maxEvents: number): DecisionEvent[] {
        const found: DecisionEvent[] = [];
        for (let index = this.count - 1; index >= 0 && found.length < maxEvents; index--) {
            const event = this.slots[(this.first + index) % this.slots.length];
            if (event !== undefined && isWanted(event)) {
                found.push(event);
            }
        }
        return found.reverse();
    }

    private dropFirst(): void {
        this.usedBytes -= this.sizes[this.first] ?? 0;
        this.slots[this.first] = undefined;
        this.first = (this.first + 1) % this.slots.length;
        this.count--;
    }
}

function sizeOf(event: DecisionEvent): number {
    let sizeBytes = eventBytes + event.subject.length * bytesPerCharacter;
    for (const name in event.facts) {
        const value = event.facts[name];
        sizeBytes += factBytes + (typeof value === "string" ? value.length * bytesPerCharacter : 0);
    }
    return sizeBytes;
}
