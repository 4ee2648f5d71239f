import { parseServerSentEvents } from "./parseServerSentEvents.js";

const lineFeed = 0x0a;
const digitZero = 0x30;
const digitNine = 0x39;
const idField = Buffer.from("id: ");
const eventEnd = Buffer.from("\n\n");
const doneEvent = Buffer.from("data: [DONE]\n\n");
const dataField = Buffer.from("data:");
const maxEventBytes = 1024 * 1024;
const emptyBuffer = Buffer.alloc(0);

/**
 * Splits a byte stream of server-sent events into complete events without decoding them.
 *
 * Engines that implement the extensions of this router number their events: the `id` field holds the number of tokens of the
 * response sent so far, this event included. Events of other engines have no `id` and count as one token each.
 * The result of a scan is kept in fields to avoid allocating an object, because `scan` runs for each read of every stream.
 */
export class ServerSentEventScanner {
    /** Tokens of the response received so far, those before a resume included. */
    tokens: number;
    /** Value of `tokens` before the last scan. */
    tokensBeforeScan: number;
    /** The `[DONE]` event has been received. */
    isDone = false;
    isEventTooLong = false;
    private incompleteEvent: Buffer = emptyBuffer;
    private isAwaitingNewToken: boolean;

    constructor(resumeFromToken: number) {
        this.tokens = resumeFromToken;
        this.tokensBeforeScan = resumeFromToken;
        this.isAwaitingNewToken = resumeFromToken > 0;
    }

    /** Returns the complete new events received so far; an incomplete event is buffered until the next read. */
    scan(bytes: Buffer): Buffer {
        this.tokensBeforeScan = this.tokens;
        const data = this.incompleteEvent.length === 0 ? bytes : Buffer.concat([this.incompleteEvent, bytes]);
        let start = 0;
        let end = data.indexOf(eventEnd, 0);
        let keptParts: Buffer[] | undefined;
        let keptStart = 0;
        while (end !== -1) {
            const next = end + eventEnd.length;
            if (!this.countEvent(data, start, next)) {
                keptParts ??= [];
                keptParts.push(data.subarray(keptStart, start));
                keptStart = next;
            }
            start = next;
            end = data.indexOf(eventEnd, start);
        }
        this.incompleteEvent = start === data.length ? emptyBuffer : Buffer.from(data.subarray(start));
        this.isEventTooLong = this.incompleteEvent.length > maxEventBytes;
        const last = data.subarray(keptStart, start);
        return keptParts === undefined ? last : Buffer.concat([...keptParts, last]);
    }

    /** Counts the tokens of one event. Returns false when the caller already has the event, so that it is skipped. */
    private countEvent(data: Buffer, start: number, end: number): boolean {
        if (hasBytesAt(data, start, idField)) {
            return this.countNumberedEvent(data, start, end);
        }
        if (hasBytesAt(data, start, doneEvent)) {
            this.isDone = true;
        }
        else if (hasBytesAt(data, start, dataField)) {
            this.tokens++;
        }
        return true;
    }

    private countNumberedEvent(data: Buffer, start: number, end: number): boolean {
        const tokensSoFar = parseDecimal(data, start + idField.length);
        if (tokensSoFar > this.tokens) {
            this.tokens = tokensSoFar;
            this.isAwaitingNewToken = false;
            return true;
        }
        if (tokensSoFar < this.tokens) {
            return false;
        }
        // The event carries no new token. Until a resumed stream sends a new one, only the finish reason and the usage are new
        // to the caller.
        return !this.isAwaitingNewToken || hasFinishReasonOrUsage(data.subarray(start, end));
    }
}

/** Whether the event carries the finish reason or the usage, which follow the last token. */
function hasFinishReasonOrUsage(event: Buffer): boolean {
    return parseServerSentEvents(event).some(value => {
        const choices = Array.isArray(value["choices"]) ? value["choices"] as { finish_reason?: unknown; }[] : [];
        return Boolean(value["usage"]) || choices.some(choice => Boolean(choice.finish_reason));
    });
}

function hasBytesAt(data: Buffer, start: number, text: Buffer): boolean {
    return data[start] === text[0] && data.length >= start + text.length &&
        data.compare(text, 0, text.length, start, start + text.length) === 0;
}

function parseDecimal(data: Buffer, start: number): number {
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
