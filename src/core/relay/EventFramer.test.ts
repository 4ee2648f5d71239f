import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { EventFramer } from "./EventFramer.js";

const events = ["id: 4\ndata: a\n\n", "id: 8\ndata: b\n\n", "id: 12\r\ndata: c\r\n\r\n"];

test("events split over chunks at any position are returned complete and in order, and the last id is tracked", () => {
    const bytes = Buffer.from(events.join(""));
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 0, max: bytes.length }), { maxLength: 8 }), offsets => {
            const framer = new EventFramer(undefined);
            let output = "";
            let from = 0;
            for (const to of [...offsets.sort((left, right) => left - right), bytes.length]) {
                output += framer.push(bytes.subarray(from, to)).toString();
                from = to;
            }
            expect(output).toEqual(events.join(""));
            expect([framer.lastEventId, framer.eventCount, framer.pendingBytes]).toEqual(["12", 3, 0]);
        }),
        { seed: 7, numRuns: 200 },
    );
});

test("an incomplete event is held back and, once dropped, not joined to the data of the next upstream", () => {
    const framer = new EventFramer(undefined);
    expect(framer.push(Buffer.from("id: 4\ndata: a\n\nid: 8\nda")).toString()).toEqual("id: 4\ndata: a\n\n");
    expect(framer.pendingBytes).toEqual("id: 8\nda".length);
    framer.resume();
    expect(framer.push(Buffer.from("id: 8\ndata: b\n\n")).toString()).toEqual("id: 8\ndata: b\n\n");
});

const idSeries = [1n, 2n ** 53n - 3n, 2n ** 53n + 1n, 2n ** 62n, 10n ** 30n, 10n ** 400n].map(firstId => ({
    name: firstId > 10n ** 100n ? "10^400" : String(firstId),
    events: Array.from({ length: 13 }, (...[, index]) => `id: ${firstId + BigInt(index)}\ndata: ${index}\n\n`),
}));

for (const { name, events } of idSeries) {
    // Guards against events with ids above 2^53 that were dropped as repetitions.
    test(`a first stream with ids from ${name} on arrives whole and may end`, () => {
        const framer = new EventFramer(undefined);
        expect(framer.push(Buffer.from(events.join(""))).toString()).toEqual(events.join(""));
        expect(framer.canEnd).toEqual(true);
    });

    test(`a stream with ids from ${name} on arrives whole if another one goes on after its last event, or repeats some`, () => {
        for (const repeated of [0, 1, 3, 7]) {
            const framer = new EventFramer(undefined);
            const first = framer.push(Buffer.from(events.slice(0, 7).join("")));
            framer.resume();
            const canEndAfter: boolean[] = [];
            const rest = events.slice(7 - repeated).map(event => {
                const accepted = framer.push(Buffer.from(event)).toString();
                canEndAfter.push(framer.canEnd);
                return accepted;
            });
            expect(first.toString() + rest.join("")).toEqual(events.join(""));
            expect(canEndAfter.filter(canEnd => !canEnd).length).toEqual(Math.max(0, repeated - 1));
        }
    });
}

test("no event of a first stream is a repetition, whatever its id", () => {
    const stream = ["9", "9", "3", "a", "a", "", "0x10", "-5", "1e3"].map(id => `id: ${id}\ndata: x\n\n`).join("");
    const framer = new EventFramer(undefined);
    expect([framer.push(Buffer.from(stream)).toString(), framer.canEnd]).toEqual([stream, true]);
});

test("a resumed stream that repeats the last event with leading zeros may end there", () => {
    const framer = new EventFramer("8");
    expect([framer.push(Buffer.from("id: 008\ndata: b\n\n")).length, framer.canEnd]).toEqual([0, true]);
});

test("an empty id is none: the stream is resumed after the last event that has one", () => {
    const framer = new EventFramer(undefined);
    framer.push(Buffer.from("id: 4\ndata: a\n\nid:\ndata: b\n\n"));
    expect(framer.lastEventId).toEqual("4");
    framer.resume();
    framer.push(Buffer.from("id:\ndata: b\n\n"));
    expect(framer.isOutOfPlace).toEqual(true);
});

test("events up to the last id that a resumed stream repeats are dropped", () => {
    const framer = new EventFramer("8");
    expect(framer.push(Buffer.from(events.join(""))).toString()).toEqual("id: 12\r\ndata: c\r\n\r\n");
});

test("a stream that resumes another one with an event without an id is out of place, and a comment or a later event is not", () => {
    const framer = new EventFramer(undefined);
    expect(framer.push(Buffer.from("data: x\n\nid: 4\ndata: a\n\n")).length > 0 && !framer.isOutOfPlace).toEqual(true);
    framer.resume();
    expect(framer.push(Buffer.from(": wait\n\nevent: error\ndata: evil\n\nid: 8\ndata: b\n\n")).toString()).toEqual(": wait\n\n");
    expect([framer.isOutOfPlace, framer.lastEventId]).toEqual([true, "4"]);
    framer.resume();
    expect(framer.push(Buffer.from("id: 8\ndata: b\n\ndata: c\n\n")).toString()).toEqual("id: 8\ndata: b\n\ndata: c\n\n");
    expect(framer.isOutOfPlace).toEqual(false);
});

test("a resumed stream cannot end while it repeats events before the last one", () => {
    const framer = new EventFramer("8");
    const canEndAfter = events.map(event => {
        framer.push(Buffer.from(event));
        return framer.canEnd;
    });
    expect(canEndAfter).toEqual([false, true, true]);
});

test("an event without end is reported as too long, and dropping it makes room for the next upstream's events", () => {
    const framer = new EventFramer(undefined);
    const kibibyte = Buffer.from("data: a\n".repeat(128));
    while (!framer.isTooLong) {
        expect(framer.push(kibibyte).length).toEqual(0);
        expect(framer.pendingBytes <= 1025 * 1024).toEqual(true);
    }
    framer.resume();
    expect(framer.isTooLong as boolean).toEqual(false);
    expect(framer.push(Buffer.from("id: 8\ndata: b\n\n")).toString()).toEqual("id: 8\ndata: b\n\n");
});

test("an event of 1 MiB that arrives byte by byte does not keep the VM busy", { timeout: 20_000 }, async () => {
    const framer = new EventFramer(undefined);
    const line = Buffer.from("data: a\n");
    const event = Buffer.concat([...Array<Buffer>(1024 * 128 - 1).fill(line), Buffer.from("\n")]);
    const received: Buffer[] = [];
    for (let offset = 0; offset < event.length; offset++) {
        received.push(framer.push(event.subarray(offset, offset + 1)));
        if (offset % 1024 === 0) {
            await setImmediate();
        }
    }
    expect([Buffer.concat(received).equals(event), framer.isTooLong, framer.pendingBytes]).toEqual([true, false, 0]);
});

test("events that were returned are not overwritten by later bytes", () => {
    const framer = new EventFramer(undefined);
    framer.push(Buffer.from("data: fir"));
    const first = framer.push(Buffer.from("st\n\ndata: sec"));
    framer.push(Buffer.from("ond\n\ndata: third"));
    expect(first.toString()).toEqual("data: first\n\n");
});
