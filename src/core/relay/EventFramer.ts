const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = Buffer.from("id:");
const maxEventBytes = 1024 * 1024;
const noBytes = Buffer.alloc(0);

/**
 * Cuts a stream of server-sent events into whole events and follows their ids, so that a stream that breaks off can be continued with
 * each event once. An event that is not whole is held back until the rest of it arrives.
 */
export class EventFramer {
    /** Id of the last whole event; undefined while none had one. */
    lastEventId: string | undefined;
    /** Whole events so far. */
    eventCount = 0;
    isTooLong = false;
    private rest: Buffer = noBytes;

    constructor(lastEventId: string | undefined) {
        this.lastEventId = lastEventId;
    }

    /** Bytes of an event that is not whole yet. */
    get pendingBytes(): number {
        return this.rest.length;
    }

    /** Forgets an event that broke off, before the stream is continued. */
    dropPending(): void {
        this.rest = noBytes;
    }

    /** Returns the whole events in what has arrived, without those that came before. */
    push(bytes: Buffer): Buffer {
        const data = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes]);
        const kept: Buffer[] = [];
        let start = 0;
        for (let end = endOfEvent(data, start); end !== -1; end = endOfEvent(data, start)) {
            const event = data.subarray(start, end);
            if (this.take(event)) {
                kept.push(event);
            }
            start = end;
        }
        this.rest = start === data.length ? noBytes : Buffer.from(data.subarray(start));
        this.isTooLong = this.rest.length > maxEventBytes;
        return kept.length === 1 ? kept[0] as Buffer : Buffer.concat(kept);
    }

    /** False for an event that a continued stream repeats. */
    private take(event: Buffer): boolean {
        const id = readId(event);
        if (id !== undefined) {
            if (this.lastEventId !== undefined && isBefore(id, this.lastEventId)) {
                return false;
            }
            this.lastEventId = id;
        }
        this.eventCount++;
        return true;
    }
}

/** Where the event that starts at `start` ends, with its empty line; -1 when that has not arrived. */
function endOfEvent(data: Buffer, start: number): number {
    for (let at = data.indexOf(lineFeed, start); at !== -1; at = data.indexOf(lineFeed, at + 1)) {
        const next = data[at + 1] === carriageReturn ? at + 2 : at + 1;
        if (data[next] === lineFeed) {
            return next + 1;
        }
    }
    return -1;
}

function readId(event: Buffer): string | undefined {
    for (let start = 0; start < event.length;) {
        const lineEnd = event.indexOf(lineFeed, start);
        const end = lineEnd === -1 ? event.length : lineEnd;
        if (event.subarray(start, start + idField.length).equals(idField)) {
            return event.toString("utf8", start + idField.length, end).trim();
        }
        start = end + 1;
    }
    return undefined;
}

function isBefore(id: string, last: string): boolean {
    const [value, lastValue] = [Number(id), Number(last)];
    return Number.isFinite(value) && Number.isFinite(lastValue) ? value <= lastValue : id === last;
}
