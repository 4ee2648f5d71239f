import { GrowingBuffer } from "../util/GrowingBuffer.js";
import { compareEventIds } from "./compareEventIds.js";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idFieldPrefix = Buffer.from("id:");
const dataFieldPrefix = Buffer.from("data");
const maxEventBytes = 1024 * 1024;
/** All bytes of an event end except the last one, as in `\n\r\n`. */
const maxPartialEndBytes = 2;

/**
 * Splits a stream of server-sent events into complete events and tracks their ids, so that an interrupted stream can be resumed with each
 * event delivered once. An incomplete event is held back until the rest of it arrives.
 */
export class EventFramer {
    /** Id of the last complete event that had one; until then, the id with which the caller resumes its stream, if any. */
    lastEventId: string | undefined;
    /** Number of complete events so far, without repetitions. */
    eventCount = 0;
    /** A resumed stream began with an event without an id, which may belong anywhere in the stream. Its events are dropped. */
    isOutOfPlace = false;
    /** Whether the current stream goes on from events of an earlier one, and has not sent an event with an id. */
    private isUnplacedContinuation = false;
    /** Id of the event that the current stream resumes after; undefined in a first stream, and once a later event has arrived. */
    private resumeAfterId: string | undefined;
    /** Whether the current stream repeats events and has not reached the last one. */
    private isBehind = false;
    private readonly pending = new GrowingBuffer();

    constructor(lastEventId: string | undefined) {
        this.lastEventId = lastEventId;
        this.resumeAfterId = lastEventId;
    }

    /** Size of the incomplete event, in bytes. */
    get pendingBytes(): number {
        return this.pending.length;
    }

    /** Whether the incomplete event exceeds 1 MiB. */
    get isTooLong(): boolean {
        return this.pending.length > maxEventBytes;
    }

    /** Whether the current stream may end here: after a complete event, and not before the last one. */
    get canEnd(): boolean {
        return this.pending.length === 0 && !this.isBehind;
    }

    /** Discards the incomplete event; the next bytes are those of the stream that resumes this one. */
    resume(): void {
        this.pending.clear();
        this.resumeAfterId = this.lastEventId;
        this.isUnplacedContinuation = this.eventCount > 0;
        this.isOutOfPlace = false;
        this.isBehind = false;
    }

    /** Appends received bytes and returns the events that they complete, without those that a resumed stream repeats. */
    push(bytes: Buffer): Buffer {
        const searchStart = Math.max(0, this.pending.length - maxPartialEndBytes);
        let data = bytes;
        if (this.pending.length > 0) {
            this.pending.append(bytes);
            data = this.pending.bytes;
        }
        const newEvents: Buffer[] = [];
        let start = 0;
        for (let end = findEventEnd(data, searchStart); end !== -1; end = findEventEnd(data, start)) {
            const event = data.subarray(start, end);
            if (this.accept(event)) {
                newEvents.push(event);
            }
            start = end;
        }
        if (start > 0 || this.pending.length === 0) {
            this.pending.clear();
            if (start < data.length) {
                this.pending.append(data.subarray(start));
            }
        }
        return newEvents.length === 1 ? newEvents[0] as Buffer : Buffer.concat(newEvents);
    }

    /** Counts an event and records its id. Returns false for an event that a resumed stream repeats, or that cannot be placed in it. */
    private accept(event: Buffer): boolean {
        // An empty id is no position in the stream.
        const id = readField(event, idFieldPrefix) || undefined;
        this.isOutOfPlace ||= id === undefined && this.isUnplacedContinuation && readField(event, dataFieldPrefix) !== undefined;
        if (this.isOutOfPlace) {
            return false;
        }
        if (id !== undefined) {
            this.isUnplacedContinuation = false;
            if (this.isRepetition(id)) {
                return false;
            }
            this.resumeAfterId = undefined;
            this.lastEventId = id;
        }
        this.eventCount++;
        return true;
    }

    /** Whether a resumed stream sends the event with this id again. */
    private isRepetition(id: string): boolean {
        const order = this.resumeAfterId === undefined ? 1 : compareEventIds(id, this.resumeAfterId);
        this.isBehind = order < 0;
        return order <= 0;
    }
}

/** Offset just after the first event end at or after `start`; -1 when the event is incomplete. */
function findEventEnd(data: Buffer, start: number): number {
    for (let index = data.indexOf(lineFeed, start); index !== -1; index = data.indexOf(lineFeed, index + 1)) {
        const next = data[index + 1] === carriageReturn ? index + 2 : index + 1;
        if (data[next] === lineFeed) {
            return next + 1;
        }
    }
    return -1;
}

/** The rest of the first line that starts with `prefix`. */
function readField(event: Buffer, prefix: Buffer): string | undefined {
    for (let start = 0; start < event.length;) {
        const lineEnd = event.indexOf(lineFeed, start);
        const end = lineEnd === -1 ? event.length : lineEnd;
        if (event.subarray(start, start + prefix.length).equals(prefix)) {
            return event.toString("utf8", start + prefix.length, end).trim();
        }
        start = end + 1;
    }
    return undefined;
}
