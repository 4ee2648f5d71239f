const chatField = Buffer.from('"content":');
const completionField = Buffer.from('"text":');
const space = 0x20;
const quote = 0x22;
const backslash = 0x5c;
const initialCapacityBytes = 256;

/**
 * Accumulates the text of a completion from its events without parsing them. The text is stored as the JSON-escaped bytes of
 * the events, because it is appended to with every token but read only when a stream fails.
 */
export class CompletionTextBuffer {
    private bytes = Buffer.allocUnsafeSlow(initialCapacityBytes);
    private sizeBytes = 0;
    private readonly field: Buffer;

    constructor(isChat: boolean) {
        this.field = isChat ? chatField : completionField;
    }

    /** Appends the text of complete events. The field name cannot occur inside a JSON string, where its quotes would be escaped. */
    append(events: Buffer): void {
        for (let offset = events.indexOf(this.field); offset !== -1; offset = events.indexOf(this.field, offset)) {
            offset += this.field.length;
            if (events[offset] === space) {
                offset++;
            }
            if (events[offset] === quote) {
                const start = offset + 1;
                offset = findStringEnd(events, start);
                this.appendRange(events, start, offset);
            }
        }
    }

    toString(): string {
        return JSON.parse(`"${this.bytes.toString("utf8", 0, this.sizeBytes)}"`) as string;
    }

    private appendRange(events: Buffer, start: number, end: number): void {
        const neededBytes = this.sizeBytes + end - start;
        if (neededBytes > this.bytes.length) {
            const largerBuffer = Buffer.allocUnsafeSlow(Math.max(neededBytes, 2 * this.bytes.length));
            this.bytes.copy(largerBuffer, 0, 0, this.sizeBytes);
            this.bytes = largerBuffer;
        }
        events.copy(this.bytes, this.sizeBytes, start, end);
        this.sizeBytes = neededBytes;
    }
}

/** Returns the offset of the closing quote of the JSON string whose content starts at `start`. */
function findStringEnd(events: Buffer, start: number): number {
    let offset = start;
    while (offset < events.length && events[offset] !== quote) {
        offset += events[offset] === backslash ? 2 : 1;
    }
    return Math.min(offset, events.length);
}
