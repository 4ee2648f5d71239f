import debug from "debug";
import { expect } from "earl";
import { afterEach, test } from "node:test";
import { configureLogging } from "./configureLogging.js";
import { createLogger } from "./createLogger.js";
import { logOutput } from "./logOutput.js";

const originalWrite = logOutput.write;

afterEach(() => {
    logOutput.write = originalWrite;
    configureLogging({ format: "plain", parts: "" });
});

function capture(format: "plain" | "json", parts: string): string[] {
    const lines: string[] = [];
    logOutput.write = line => lines.push(line);
    configureLogging({ format, parts });
    return lines;
}

test("a plain line contains the namespace of its part, the message and the fields", () => {
    const lines = capture("plain", "orioleshelf:*");
    createLogger("peer")("link closed", { requestId: "r1", attempts: 2 });
    expect(lines.length).toEqual(1);
    expect(lines[0] ?? "").toMatchRegex(/orioleshelf:peer link closed requestId=r1 attempts=2/);
});

test("bigints are logged as numbers, or as strings if a number cannot hold them", () => {
    const fields = { small: 7n, large: 9_007_199_254_740_993n };
    const jsonLines = capture("json", "orioleshelf:*");
    createLogger("peer")("link closed", fields);
    expect(JSON.parse(jsonLines[0] ?? "")).toEqual(expect.subset({ small: 7, large: "9007199254740993" }));
    const plainLines = capture("plain", "orioleshelf:*");
    createLogger("peer")("link closed", fields);
    expect(plainLines[0] ?? "").toMatchRegex(/small=7 large=9007199254740993/);
});

test("a JSON line contains the time, part, request id and fields, without undefined values", () => {
    const lines = capture("json", "orioleshelf:*");
    createLogger("peer")("link closed", { requestId: "r1", reason: undefined });
    const { time, ...rest } = JSON.parse(lines[0] ?? "") as Record<string, unknown>;
    expect(Number.isNaN(Date.parse(String(time)))).toEqual(false);
    expect(rest).toEqual({ part: "orioleshelf:peer", message: "link closed", requestId: "r1" });
});

test("only the enabled parts write lines", () => {
    const lines = capture("json", "orioleshelf:edge");
    createLogger("peer")("link closed");
    createLogger("edge")("request refused");
    expect(lines.length).toEqual(1);
});

for (const format of ["plain", "json"] as const) {
    test(`${format}: fields with keys, prompts or generated text are redacted, while counts are written`, () => {
        const lines = capture(format, "orioleshelf:*");
        const secret = "sk-very-secret";
        const fields = {
            key: secret,
            token: secret,
            authorization: secret,
            prompt: secret,
            body: secret,
            messages: [secret],
            apiKey: secret,
            answerText: secret,
        };
        createLogger("edge")("request refused", { requestId: "r1", promptTokens: 7, tokens: 9, keyCount: 1, ...fields });
        expect(lines[0]?.includes(secret)).toEqual(false);
        expect(lines[0] ?? "").toMatchRegex(/promptTokens.{1,2}7.*tokens.{1,2}9/);
    });
}

test("loggers created with the debug library directly use the configured format", () => {
    const lines = capture("json", "orioleshelf:*");
    debug("orioleshelf:other")("link to %s closed, %d left: 100%", "ba-1", 2);
    const { part, message } = JSON.parse(lines[0] ?? "") as Record<string, unknown>;
    expect([lines.length, part, message]).toEqual([1, "orioleshelf:other", "link to ba-1 closed, 2 left: 100%"]);
    const plain = capture("plain", "orioleshelf:*");
    debug("orioleshelf:other")("link to %s closed", "ba-1");
    expect(plain[0] ?? "").toMatchRegex(/orioleshelf:other link to ba-1 closed/);
});
