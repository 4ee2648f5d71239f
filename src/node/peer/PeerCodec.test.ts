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
const binaryMessage: PeerMessage = {
    type: "configRecords",
    records: [{ offset: 3, payload: new Uint8Array([1, 2, 3]) }],
    snapshot: new Uint8Array([9]),
};
const extendedHeartbeat: PeerMessage = {
    ...heartbeat,
    gone: [{ vm: "vm-2", incarnation: "1", version: 3, ageMs: 0.5, hasLeft: false }],
    offsets: [["vm-1", 7]],
};

test("decoded frames equal the encoded ones, in any order and with separate codecs", () => {
    const messages = fc.constantFrom<PeerMessage>(heartbeat, binaryMessage, extendedHeartbeat, { type: "configFetch", fromOffset: 4 });
    fc.assert(
        fc.property(fc.array(fc.tuple(messages, fc.nat()), { maxLength: 20 }), sequence => {
            const [sender, receiver] = [new PeerCodec(), new PeerCodec()];
            for (const [message, id] of sequence) {
                const decoded = receiver.decode(sender.encode({ kind: "request", id, message }))._unsafeUnwrap();
                expect(JSON.stringify(decoded)).toEqual(JSON.stringify({ kind: "request", id, message: replaceBytesWithBuffers(message) }));
            }
        }),
        { seed: 1 },
    );
});

test("a heartbeat without optional fields takes fewer than 64 bytes", () => {
    const size = new PeerCodec().encode({ kind: "message", message: { ...heartbeat, incarnation: "mhq3x5k2a-0123abcd" } }).length;
    expect(size).toBeLessThan(64);
});

test("malformed bytes neither throw nor leave the codec unusable", () => {
    const codec = new PeerCodec();
    const valid = new PeerCodec().encode({ kind: "message", message: extendedHeartbeat });
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

test("the error for a message that does not match the schema names the invalid field", () => {
    const codec = new PeerCodec();
    const invalidMessage = { ...heartbeat, digest: "x" } as unknown as PeerMessage;
    expect(codec.decode(codec.encode({ kind: "message", message: invalidMessage }))._unsafeUnwrapErr()).toMatchRegex(/digest/);
});

/** Decoded bytes are Buffers, which serialize differently from Uint8Arrays in JSON. */
function replaceBytesWithBuffers(message: PeerMessage): unknown {
    return message.type !== "configRecords" ? message : {
        ...message,
        records: message.records.map(record => ({ ...record, payload: Buffer.from(record.payload) })),
        snapshot: message.snapshot === undefined ? undefined : Buffer.from(message.snapshot),
    };
}
