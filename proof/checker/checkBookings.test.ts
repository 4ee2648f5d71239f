import { expect } from "earl";
import { test } from "node:test";
import { checkBookings } from "./checkBookings.js";
import type { HistoryEvent } from "./HistoryEvent.js";

const limits = { retentionMs: 1_000, claimWaitMs: 100 };
const vm = { vm: "a", incarnation: "1" };
const called: HistoryEvent = {
    type: "called",
    atMs: 0,
    callId: 0,
    ...vm,
    key: "k",
    streamKey: "s",
    digest: "d",
    upstreamDeduplicates: true,
};
const ran: HistoryEvent = { type: "ran", atMs: 1, callId: 0, answer: "booked" };
const told: HistoryEvent = { type: "told", atMs: 2, callId: 0, told: { outcome: "answered", answer: "booked" } };

function invariants(events: readonly HistoryEvent[]): string[] {
    return checkBookings(events, limits).map(violation => violation.invariant);
}

test("a history without a fault breaks nothing", () => {
    expect(invariants([called, ran, told, { type: "healed", atMs: 3 }])).toEqual([]);
});

test("a caller that is told twice is noticed", () => {
    expect(invariants([called, ran, told, { ...told, atMs: 3 }])).toEqual(["told-twice"]);
});

test("an answer that no run gave is noticed", () => {
    expect(invariants([called, told])).toEqual(["wrong-answer"]);
});
