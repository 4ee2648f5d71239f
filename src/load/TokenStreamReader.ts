const eventPrefix = "data: ";
const endOfStream = "[DONE]";

/** Reads a stream of server-sent events and notes when its tokens came. */
export class TokenStreamReader {
    tokens = 0;
    firstTokenAtMs: number | undefined;
    maxGapMs = 0;
    hasEnded = false;
    /** Code of an error that came inside the stream. */
    errorCode: string | undefined;
    private lastAtMs = 0;
    private rest = "";

    /** Takes the next bytes as text, which came at `atMs`. */
    add(text: string, atMs: number): void {
        const lines = (this.rest + text).split("\n");
        this.rest = lines.pop() ?? "";
        for (const line of lines) {
            if (line.startsWith(eventPrefix)) {
                this.addEvent(line.slice(eventPrefix.length).trim(), atMs);
            }
        }
    }

    get meanGapMs(): number | undefined {
        return this.firstTokenAtMs === undefined || this.tokens < 2 ? undefined : (this.lastAtMs - this.firstTokenAtMs) / (this.tokens - 1);
    }

    private addEvent(data: string, atMs: number): void {
        if (data === endOfStream) {
            this.hasEnded = true;
            return;
        }
        const { hasContent, errorCode } = readEvent(data);
        this.errorCode ??= errorCode;
        if (!hasContent) {
            return;
        }
        this.maxGapMs = this.firstTokenAtMs === undefined ? 0 : Math.max(this.maxGapMs, atMs - this.lastAtMs);
        this.firstTokenAtMs ??= atMs;
        this.lastAtMs = atMs;
        this.tokens++;
    }
}

interface StreamEvent {
    readonly choices?: readonly { readonly delta?: { readonly content?: string; }; readonly text?: string; }[];
    readonly error?: { readonly code?: string; };
}

function readEvent(data: string): { hasContent: boolean; errorCode: string | undefined; } {
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
