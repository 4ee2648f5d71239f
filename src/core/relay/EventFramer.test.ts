import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { EventFramer } from "./EventFramer.js";

const events = ["id: 4\ndata: a\n\n", "id: 8\ndata: b\n\n", "id: 12\r\ndata: c\r\n\r\n"];

test("whole events pass however the stream is cut, and the last id is known", () => {
    const bytes = Buffer.from(events.join(""));
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 0, max: bytes.length }), { maxLength: 8 }), cuts => {
            const framer = new EventFramer(undefined);
            let out = "";
            let from = 0;
            for (const to of [...cuts.sort((left, right) => left - right), bytes.length]) {
                out += framer.push(bytes.subarray(from, to)).toString();
                from = to;
            }
            expect(out).toEqual(events.join(""));
            expect([framer.lastEventId, framer.eventCount, framer.pendingBytes]).toEqual(["12", 3, 0]);
        }),
        { seed: 7, numRuns: 200 },
    );
});

test("an event that broke off is held back and not joined to what another upstream sends", () => {
    const framer = new EventFramer(undefined);
    expect(framer.push(Buffer.from("id: 4\ndata: a\n\nid: 8\nda")).toString()).toEqual("id: 4\ndata: a\n\n");
    expect(framer.pendingBytes).toEqual("id: 8\nda".length);
    framer.dropPending();
    expect(framer.push(Buffer.from("id: 8\ndata: b\n\n")).toString()).toEqual("id: 8\ndata: b\n\n");
});

test("events that a continued stream repeats are left out", () => {
    const framer = new EventFramer("8");
    expect(framer.push(Buffer.from(events.join(""))).toString()).toEqual("id: 12\r\ndata: c\r\n\r\n");
});
