const chatField = Buffer.from('"content":');
const completionField = Buffer.from('"text":');
const space = 0x20;
const quote = 0x22;
const backslash = 0x5c;
const firstCapacityBytes = 256;

/**
 * The text of an answer, taken out of its events without parsing them. It is kept as the escaped bytes of the events,
 * since it is read only when a stream breaks, while it is added to with every token.
 */
export class CompletionTextBuffer {
    private bytes = Buffer.allocUnsafeSlow(firstCapacityBytes);
    private sizeBytes = 0;
    private readonly field: Buffer;

    constructor(isChat: boolean) {
        this.field = isChat ? chatField : completionField;
    }

    /** Adds the text of whole events. The field name cannot occur inside a JSON string, where its quotes would be escaped. */
    append(events: Buffer): void {
        for (let at = events.indexOf(this.field); at !== -1; at = events.indexOf(this.field, at)) {
            at += this.field.length;
            if (events[at] === space) {
                at++;
            }
            if (events[at] === quote) {
                const start = at + 1;
                at = endOfString(events, start);
                this.add(events, start, at);
            }
        }
    }

    toString(): string {
        return JSON.parse(`"${this.bytes.toString("utf8", 0, this.sizeBytes)}"`) as string;
    }

    private add(events: Buffer, start: number, end: number): void {
        const neededBytes = this.sizeBytes + end - start;
        if (neededBytes > this.bytes.length) {
            const grown = Buffer.allocUnsafeSlow(Math.max(neededBytes, 2 * this.bytes.length));
            this.bytes.copy(grown, 0, 0, this.sizeBytes);
            this.bytes = grown;
        }
        events.copy(this.bytes, this.sizeBytes, start, end);
        this.sizeBytes = neededBytes;
    }
}

/** Where the JSON string that starts at `start` ends: the place of its closing quote. */
function endOfString(events: Buffer, start: number): number {
    let at = start;
    while (at < events.length && events[at] !== quote) {
        at += events[at] === backslash ? 2 : 1;
    }
    return Math.min(at, events.length);
}
