const dataLinePrefix = "data: ";
const endOfStreamMarker = "[DONE]";

/** Parses a stream of server-sent events and records when its tokens arrived. Each event with content counts as one token. */
export class TokenStreamReader {
    tokens = 0;
    firstTokenAtMs: number | undefined;
    maxGapMs = 0;
    hasEnded = false;
    /** Code of the first error event of the stream. */
    errorCode: string | undefined;
    private lastTokenAtMs = 0;
    private partialLine = "";

    /** Parses the next chunk of text, which arrived at `atMs`. */
    add(text: string, atMs: number): void {
        const lines = (this.partialLine + text).split("\n");
        this.partialLine = lines.pop() ?? "";
        for (const line of lines) {
            if (line.startsWith(dataLinePrefix)) {
                this.handleEvent(line.slice(dataLinePrefix.length).trim(), atMs);
            }
        }
    }

    get meanGapMs(): number | undefined {
        return this.firstTokenAtMs === undefined || this.tokens < 2
            ? undefined
            : (this.lastTokenAtMs - this.firstTokenAtMs) / (this.tokens - 1);
    }

    private handleEvent(data: string, atMs: number): void {
        if (data === endOfStreamMarker) {
            this.hasEnded = true;
            return;
        }
        const { hasContent, errorCode } = parseEvent(data);
        this.errorCode ??= errorCode;
        if (!hasContent) {
            return;
        }
        this.maxGapMs = this.firstTokenAtMs === undefined ? 0 : Math.max(this.maxGapMs, atMs - this.lastTokenAtMs);
        this.firstTokenAtMs ??= atMs;
        this.lastTokenAtMs = atMs;
        this.tokens++;
    }
}

interface StreamEvent {
    readonly choices?: readonly { readonly delta?: { readonly content?: string; }; readonly text?: string; }[];
    readonly error?: { readonly code?: string; };
}

function parseEvent(data: string): { hasContent: boolean; errorCode: string | undefined; } {
    try {
        const event = JSON.parse(data) as StreamEvent;
        const [choice] = event.choices ?? [];
        const errorCode = event.error === undefined ? undefined : event.error.code ?? "error";
        return { hasContent: (choice?.delta?.content ?? choice?.text ?? "") !== "", errorCode };
    }
    catch {
        return { hasContent: false, errorCode: "bad_event" };
    }
}
