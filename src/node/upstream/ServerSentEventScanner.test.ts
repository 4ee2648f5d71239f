import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { CompletionTextBuffer } from "./CompletionTextBuffer.js";
import { ServerSentEventScanner } from "./ServerSentEventScanner.js";

/** A stream of our protocol: a role, the tokens, a finish, a comment and the end. */
function streamOf(tokens: readonly string[], from = 0): string {
    const event = (id: number, delta: object, finish: string) =>
        `id: ${id}\ndata: ${JSON.stringify({ choices: [{ delta, finish_reason: finish }] })}\n\n`;
    const texts = tokens.map((token, index) => event(from + index + 1, { content: token }, ""));
    return `${event(from, { role: "assistant", content: "" }, "")}: keep-alive\n\n${texts.join("")}${
        event(from + tokens.length, {}, "stop")
    }data: [DONE]\n\n`;
}

/** Cuts text into pieces at the given places. */
function cut(bytes: Buffer, places: readonly number[]): Buffer[] {
    const ends = [...new Set(places.map(place => place % (bytes.length + 1)))].sort((left, right) => left - right);
    return [...ends, bytes.length].map((end, index) => bytes.subarray(index === 0 ? 0 : ends[index - 1], end));
}

const texts = fc.array(fc.string({ unit: "binary", minLength: 1, maxLength: 8 }), { maxLength: 20 });
const places = fc.array(fc.nat(), { maxLength: 30 });

test("however the bytes arrive, whole events come out unchanged, every token is counted and the text is kept", () => {
    fc.assert(
        fc.property(texts, places, (tokens, cuts) => {
            const wellFormed = tokens.map(token => token.toWellFormed());
            const stream = Buffer.from(streamOf(wellFormed));
            const scanner = new ServerSentEventScanner(0);
            const text = new CompletionTextBuffer(true);
            const passedOn = cut(stream, cuts).map(piece => {
                const before = scanner.tokens;
                const events = scanner.scan(piece);
                expect(scanner.tokensBeforeScan).toEqual(before);
                expect(events.length === 0 || events.subarray(-2).toString() === "\n\n").toEqual(true);
                text.append(events);
                return Buffer.from(events);
            });
            expect(Buffer.concat(passedOn).toString()).toEqual(stream.toString());
            expect([scanner.tokens, scanner.isDone]).toEqual([wellFormed.length, true]);
            expect(text.toString()).toEqual(wellFormed.join(""));
        }),
        { seed: 51, numRuns: 300 },
    );
});

test("a resumed stream that starts too early passes on only what is new, without a second role", () => {
    fc.assert(
        fc.property(texts, places, fc.nat(), (tokens, cuts, resume) => {
            const resumeFromToken = 1 + resume % (tokens.length + 1);
            fc.pre(resumeFromToken <= tokens.length);
            const wellFormed = tokens.map(token => token.toWellFormed());
            const scanner = new ServerSentEventScanner(resumeFromToken);
            const text = new CompletionTextBuffer(true);
            for (const piece of cut(Buffer.from(streamOf(wellFormed)), cuts)) {
                const events = scanner.scan(piece);
                expect(events.includes('"role"')).toEqual(false);
                text.append(events);
            }
            expect(text.toString()).toEqual(wellFormed.slice(resumeFromToken).join(""));
            expect(scanner.tokens).toEqual(wellFormed.length);
        }),
        { seed: 52, numRuns: 300 },
    );
});

test("events without numbers count one token each, and an event without end is noticed", () => {
    const scanner = new ServerSentEventScanner(0);
    scanner.scan(Buffer.from("data: {}\n\n: comment\n\ndata: {}\n\n"));
    expect(scanner.tokens).toEqual(2);
    scanner.scan(Buffer.alloc(2 * 1024 * 1024, "x"));
    expect(scanner.isEventTooLong).toEqual(true);
});

test("text is found behind a space, and null content is no text", () => {
    const text = new CompletionTextBuffer(false);
    text.append(Buffer.from('data: {"choices":[{"text": "a\\"b\\\\"}]}\n\ndata: {"choices":[{"text":null}]}\n\n'));
    expect(text.toString()).toEqual('a"b\\');
});
