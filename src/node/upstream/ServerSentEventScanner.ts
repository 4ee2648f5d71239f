import { parseServerSentEvents } from "./parseServerSentEvents.js";

const lineFeed = 0x0a;
const digitZero = 0x30;
const digitNine = 0x39;
const idField = Buffer.from("id: ");
const eventEnd = Buffer.from("\n\n");
const doneEvent = Buffer.from("data: [DONE]\n\n");
const dataField = Buffer.from("data:");
const maxEventBytes = 1024 * 1024;
const noBytes = Buffer.alloc(0);

/**
 * Cuts a byte stream of server-sent events into whole events without decoding them.
 *
 * An engine of our protocol numbers its events: the `id` field tells how many tokens of the answer have been sent with it.
 * Events of other engines carry no number and count as one token each. The fields below describe what the last `scan`
 * returned; they are fields, not a result object, because `scan` runs once for each read of every stream.
 */
export class ServerSentEventScanner {
    /** Tokens of the whole answer that have been received. */
    tokens: number;
    /** Tokens received before the last scan. */
    tokensBeforeScan: number;
    /** The `[DONE]` event has been received. */
    isDone = false;
    isEventTooLong = false;
    private rest: Buffer = noBytes;
    private isResumed: boolean;

    constructor(resumeFromToken: number) {
        this.tokens = resumeFromToken;
        this.tokensBeforeScan = resumeFromToken;
        this.isResumed = resumeFromToken > 0;
    }

    /** Returns the whole events in what has been received so far; an incomplete one is kept for the next read. */
    scan(bytes: Buffer): Buffer {
        this.tokensBeforeScan = this.tokens;
        const data = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
        let start = 0;
        let end = data.indexOf(eventEnd, 0);
        let kept: Buffer[] | undefined;
        let keptFrom = 0;
        while (end !== -1) {
            const next = end + eventEnd.length;
            if (!this.take(data, start, next)) {
                kept ??= [];
                kept.push(data.subarray(keptFrom, start));
                keptFrom = next;
            }
            start = next;
            end = data.indexOf(eventEnd, start);
        }
        this.rest = start === data.length ? noBytes : Buffer.from(data.subarray(start));
        this.isEventTooLong = this.rest.length > maxEventBytes;
        const last = data.subarray(keptFrom, start);
        return kept === undefined ? last : Buffer.concat([...kept, last]);
    }

    /** Counts one event; false when the caller already has it and it is to be left out. */
    private take(data: Buffer, start: number, end: number): boolean {
        if (isAt(data, start, idField)) {
            return this.takeNumbered(data, start, end);
        }
        if (isAt(data, start, doneEvent)) {
            this.isDone = true;
        }
        else if (isAt(data, start, dataField)) {
            this.tokens++;
        }
        return true;
    }

    private takeNumbered(data: Buffer, start: number, end: number): boolean {
        const number = readNumber(data, start + idField.length);
        if (number > this.tokens) {
            this.tokens = number;
            this.isResumed = false;
            return true;
        }
        if (number < this.tokens) {
            return false;
        }
        // Carries no new token. Until a resumed stream goes on, only what ends the answer is new to the caller.
        return !this.isResumed || endsAnswer(data.subarray(start, end));
    }
}

/** The event tells the finish reason or the usage, which come after the last token. */
function endsAnswer(event: Buffer): boolean {
    return parseServerSentEvents(event).some(value => {
        const choices = Array.isArray(value["choices"]) ? value["choices"] as { finish_reason?: unknown; }[] : [];
        return Boolean(value["usage"]) || choices.some(choice => Boolean(choice.finish_reason));
    });
}

function isAt(data: Buffer, start: number, text: Buffer): boolean {
    return data[start] === text[0] && data.length >= start + text.length &&
        data.compare(text, 0, text.length, start, start + text.length) === 0;
}

function readNumber(data: Buffer, start: number): number {
    let value = 0;
    for (let index = start; index < data.length; index++) {
        const byte = data[index] ?? lineFeed;
        if (byte < digitZero || byte > digitNine) {
            break;
        }
        value = value * 10 + byte - digitZero;
    }
    return value;
}
