import { expect } from "earl";
import { test } from "node:test";
import type { BookingEvent } from "./BookingEvent.js";
import { checkBookings } from "./checkBookings.js";

const limits = { retentionMs: 1_000, claimWaitMs: 100 };
const vm = { vm: "a", incarnation: "1" };
const called: BookingEvent = {
    type: "called",
    atMs: 0,
    callId: 0,
    ...vm,
    key: "k",
    streamKey: "s",
    digest: "d",
    upstreamDeduplicates: true,
};
const ran: BookingEvent = { type: "ran", atMs: 1, callId: 0, answer: "booked" };
const told: BookingEvent = { type: "told", atMs: 2, callId: 0, told: { outcome: "answered", answer: "booked" } };

function invariants(events: readonly BookingEvent[]): string[] {
    return checkBookings(events, limits).map(violation => violation.invariant);
}

test("a history without a fault violates no invariant", () => {
    expect(invariants([called, ran, told, { type: "healed", atMs: 3 }])).toEqual([]);
});

test("a second result for one call is reported", () => {
    expect(invariants([called, ran, told, { ...told, atMs: 3 }])).toEqual(["told-twice"]);
});

test("an answer that no run produced is reported", () => {
    expect(invariants([called, told])).toEqual(["wrong-answer"]);
});
