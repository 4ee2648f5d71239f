import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { CompletionTextBuffer } from "./CompletionTextBuffer.js";
import { ServerSentEventScanner } from "./ServerSentEventScanner.js";

/** An engine's event stream: a role event, a comment, the token events, a finish reason and `[DONE]`. */
function createEventStream(tokens: readonly string[], from = 0): string {
    const event = (id: number, delta: object, finish: string) =>
        `id: ${id}\ndata: ${JSON.stringify({ choices: [{ delta, finish_reason: finish }] })}\n\n`;
    const tokenTexts = tokens.map((token, index) => event(from + index + 1, { content: token }, ""));
    return `${event(from, { role: "assistant", content: "" }, "")}: keep-alive\n\n${tokenTexts.join("")}${
        event(from + tokens.length, {}, "stop")
    }data: [DONE]\n\n`;
}

/** Splits bytes into chunks at the given offsets, taken modulo the length. */
function splitAt(bytes: Buffer, cutOffsets: readonly number[]): Buffer[] {
    const ends = [...new Set(cutOffsets.map(cutOffset => cutOffset % (bytes.length + 1)))].sort((left, right) => left - right);
    return [...ends, bytes.length].map((end, index) => bytes.subarray(index === 0 ? 0 : ends[index - 1], end));
}

const tokenTexts = fc.array(fc.string({ unit: "binary", minLength: 1, maxLength: 8 }), { maxLength: 20 });
const cutOffsets = fc.array(fc.nat(), { maxLength: 30 });

test("events split across reads come out complete and unchanged, with every token counted and the text collected", () => {
    fc.assert(
        fc.property(tokenTexts, cutOffsets, (tokens, cuts) => {
            const wellFormed = tokens.map(token => token.toWellFormed());
            const stream = Buffer.from(createEventStream(wellFormed));
            const scanner = new ServerSentEventScanner(0);
            const text = new CompletionTextBuffer(true);
            const scannedEvents = splitAt(stream, cuts).map(chunk => {
                const before = scanner.tokens;
                const events = scanner.scan(chunk);
                expect(scanner.tokensBeforeScan).toEqual(before);
                expect(events.length === 0 || events.subarray(-2).toString() === "\n\n").toEqual(true);
                text.append(events);
                return Buffer.from(events);
            });
            expect(Buffer.concat(scannedEvents).toString()).toEqual(stream.toString());
            expect([scanner.tokens, scanner.isDone]).toEqual([wellFormed.length, true]);
            expect(text.toString()).toEqual(wellFormed.join(""));
        }),
        { seed: 51, numRuns: 300 },
    );
});

test("a resumed stream that repeats delivered tokens forwards only new tokens and no second role event", () => {
    fc.assert(
        fc.property(tokenTexts, cutOffsets, fc.nat(), (tokens, cuts, resume) => {
            const resumeFromToken = 1 + resume % (tokens.length + 1);
            fc.pre(resumeFromToken <= tokens.length);
            const wellFormed = tokens.map(token => token.toWellFormed());
            const scanner = new ServerSentEventScanner(resumeFromToken);
            const text = new CompletionTextBuffer(true);
            for (const chunk of splitAt(Buffer.from(createEventStream(wellFormed)), cuts)) {
                const events = scanner.scan(chunk);
                expect(events.includes('"role"')).toEqual(false);
                text.append(events);
            }
            expect(text.toString()).toEqual(wellFormed.slice(resumeFromToken).join(""));
            expect(scanner.tokens).toEqual(wellFormed.length);
        }),
        { seed: 52, numRuns: 300 },
    );
});

test("events without an id count one token each, and an unterminated event is reported as too long", () => {
    const scanner = new ServerSentEventScanner(0);
    scanner.scan(Buffer.from("data: {}\n\n: comment\n\ndata: {}\n\n"));
    expect(scanner.tokens).toEqual(2);
    scanner.scan(Buffer.alloc(2 * 1024 * 1024, "x"));
    expect(scanner.isEventTooLong).toEqual(true);
});

test("text after a space is collected, and null content adds no text", () => {
    const text = new CompletionTextBuffer(false);
    text.append(Buffer.from('data: {"choices":[{"text": "a\\"b\\\\"}]}\n\ndata: {"choices":[{"text":null}]}\n\n'));
    expect(text.toString()).toEqual('a"b\\');
});
