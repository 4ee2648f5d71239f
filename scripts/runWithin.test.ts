import { expect } from "earl";
import { test } from "node:test";
import { runWithin } from "./runWithin.js";

const generousMs = 60_000;

test("tells whether a command passed", async () => {
    expect(await runWithin("exit 0", generousMs)).toEqual("passed");
    expect(await runWithin("exit 3", generousMs)).toEqual("failed");
});

test("a command that stands still is ended with the processes that it started", async () => {
    expect(await runWithin("sleep 3600 & wait", 50)).toEqual("did not end");
});
