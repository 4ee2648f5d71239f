import { expect } from "earl";
import { test } from "node:test";
import { mayForwardStatus } from "./mayForwardStatus.js";

const statuses = [200, 400, 408, 421, 429, 500, 502, 503, 504];
const listForwarded = (kind: "once" | "repeatable" | "stream", isResumable: boolean) =>
    statuses.filter(status => mayForwardStatus(status, { kind, isResumable }));

test("a status that says that a call has not run is not forwarded from an upstream that has run it, if it may run only once", () => {
    const withoutNotRun = [200, 400, 500, 502, 504];
    expect(listForwarded("once", false)).toEqual(withoutNotRun);
    expect(listForwarded("stream", false)).toEqual(withoutNotRun);
});

test("every status of an upstream is forwarded for a call that may run again", () => {
    expect(listForwarded("repeatable", false)).toEqual(statuses);
    expect(listForwarded("stream", true)).toEqual(statuses);
});
