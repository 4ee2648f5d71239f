import { expect } from "earl";
import { test } from "node:test";
import { runWithin } from "./runWithin.js";

const longTimeoutMs = 60_000;

test("reports whether a command passed or failed", async () => {
    expect(await runWithin("exit 0", longTimeoutMs)).toEqual("passed");
    expect(await runWithin("exit 3", longTimeoutMs)).toEqual("failed");
});

test("a hanging command is killed together with the processes it started", async () => {
    expect(await runWithin("sleep 3600 & wait", 50)).toEqual("did not end");
});
