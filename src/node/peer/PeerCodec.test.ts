import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { PeerCodec } from "./PeerCodec.js";

const heartbeat: PeerMessage = {
    type: "heartbeat",
    incarnation: "1",
    heardMs: 12,
    digest: 4_000_000_000,
    wantsHeartbeats: true,
};
const bytes: PeerMessage = {
    type: "configRecords",
    records: [{ offset: 3, payload: new Uint8Array([1, 2, 3]) }],
    snapshot: new Uint8Array([9]),
};
const news: PeerMessage = {
    ...heartbeat,
    gone: [{ vm: "vm-2", incarnation: "1", version: 3, ageMs: 0.5, hasLeft: false }],
    offsets: [["vm-1", 7]],
};

test("frames come back as they were, in any order and from any codec", () => {
    const messages = fc.constantFrom<PeerMessage>(heartbeat, bytes, news, { type: "configFetch", fromOffset: 4 });
    fc.assert(
        fc.property(fc.array(fc.tuple(messages, fc.nat()), { maxLength: 20 }), sequence => {
            const [sender, receiver] = [new PeerCodec(), new PeerCodec()];
            for (const [message, id] of sequence) {
                const decoded = receiver.decode(sender.encode({ kind: "request", id, message }))._unsafeUnwrap();
                expect(JSON.stringify(decoded)).toEqual(JSON.stringify({ kind: "request", id, message: plain(message) }));
            }
        }),
        { seed: 1 },
    );
});

test("a heartbeat without news takes fewer than 64 bytes", () => {
    const size = new PeerCodec().encode({ kind: "message", message: { ...heartbeat, incarnation: "mhq3x5k2a-0123abcd" } }).length;
    expect(size).toBeLessThan(64);
});

test("any bytes are either a frame or a told error, and leave the codec usable", () => {
    const codec = new PeerCodec();
    const valid = new PeerCodec().encode({ kind: "message", message: news });
    const damaged = fc.tuple(fc.nat(valid.length - 1), fc.nat(255)).map(([index, value]) => {
        const copy = Uint8Array.from(valid);
        copy[index] = value;
        return copy;
    });
    fc.assert(
        fc.property(fc.oneof(fc.uint8Array({ maxLength: 200 }), damaged), input => {
            codec.decode(input);
            expect(codec.decode(new PeerCodec().encode({ kind: "message", message: heartbeat })).isOk()).toEqual(true);
        }),
        { seed: 1, numRuns: 2000 },
    );
});

test("a message that does not fit the schema is told with the place where it does not", () => {
    const codec = new PeerCodec();
    const wrong = { ...heartbeat, digest: "x" } as unknown as PeerMessage;
    expect(codec.decode(codec.encode({ kind: "message", message: wrong }))._unsafeUnwrapErr()).toMatchRegex(/digest/);
});

/** Bytes come back as a Buffer, which prints in another way. */
function plain(message: PeerMessage): unknown {
    return message.type !== "configRecords" ? message : {
        ...message,
        records: message.records.map(record => ({ ...record, payload: Buffer.from(record.payload) })),
        snapshot: message.snapshot === undefined ? undefined : Buffer.from(message.snapshot),
    };
}
