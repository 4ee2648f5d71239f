import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { ConfigFold } from "./ConfigFold.js";

const encoder = new TextEncoder();

function createServiceClass(name: string, tier: number): object {
    return {
        name,
        tier,
        firstTokenTargetMs: 450,
        tokenGapTargetMs: 35,
        objective: 0.95,
        maxQueueMs: 1_000,
        floorShare: 0,
        refuseEarly: false,
        defaultMaxOutputTokens: 10,
    };
}

function encodeChange(changeId: string, ...operations: object[]): Uint8Array {
    return encoder.encode(JSON.stringify({ type: "change", formatVersion: 1, changeId, author: "operator", operations }));
}

function putClass(name: string, tier: number, readRevision?: number): object {
    return { op: "put", object: { kind: "serviceClass", value: createServiceClass(name, tier) }, readRevision };
}

function putCustomer(name: string, classes: string[], readRevision?: number, keyHashes: string[] = []): object {
    return { op: "put", object: { kind: "customer", value: { name, keyHashes, classes, defaultClass: classes[0] } }, readRevision };
}

function putPool(name: string, upstreamId: string): object {
    const upstreams = [{ id: upstreamId, url: "http://10.0.0.1:80", availabilityZone: "nadi" }];
    const value = { name, path: "new", kind: "engine", services: ["pumpline-model"], upstreams, repeatable: true };
    return { op: "put", object: { kind: "pool", value }, readRevision: undefined };
}

/** Folds the records; returns their verdicts, in order, and the fold. */
function foldRecords(...records: Uint8Array[]): { verdicts: string[]; fold: ConfigFold; } {
    const configFold = new ConfigFold();
    const verdicts = records.map((record, offset) => configFold.fold(offset, record).verdict);
    return { verdicts, fold: configFold };
}

test("of two changes with the same read revision, only the first in the stream is applied", () => {
    const { verdicts, fold: configFold } = foldRecords(
        encodeChange("1", putClass("urgent", 0)),
        encodeChange("2", putClass("urgent", 1, 0)),
        encodeChange("3", putClass("urgent", 2, 0)),
    );
    expect(verdicts).toEqual(["applied", "applied", "conflict"]);
    expect(configFold.view().serviceClasses.get("urgent")?.tier).toEqual(1);
});

test("a change with one invalid operation applies none of its operations", () => {
    const { verdicts, fold: configFold } = foldRecords(encodeChange("1", putClass("urgent", 0), putCustomer("c", ["missing"])));
    expect(verdicts).toEqual(["invalid"]);
    expect(configFold.view().serviceClasses.size).toEqual(0);
});

test("operations of one change may reference each other in any order", () => {
    expect(foldRecords(encodeChange("1", putCustomer("c", ["urgent"]), putClass("urgent", 0))).verdicts).toEqual(["applied"]);
});

test("a record that is appended a second time is a conflict and changes nothing", () => {
    const create = encodeChange("1", putClass("urgent", 0));
    const remove = encodeChange("2", { op: "delete", kind: "serviceClass", name: "urgent", readRevision: 0 });
    const { verdicts, fold: configFold } = foldRecords(create, remove, create, remove);
    expect(verdicts).toEqual(["applied", "applied", "conflict", "conflict"]);
    expect(configFold.view().serviceClasses.size).toEqual(0);
});

test("a change rejected as invalid stays rejected when its record is appended again, also after a snapshot is loaded", () => {
    const invalidChange = encodeChange("1", putCustomer("c", ["urgent"]));
    const { verdicts, fold: configFold } = foldRecords(invalidChange, encodeChange("2", putClass("urgent", 0)), invalidChange);
    expect(verdicts).toEqual(["invalid", "applied", "invalid"]);
    const loaded = new ConfigFold();
    loaded.load(configFold.snapshot());
    expect(loaded.fold(3, invalidChange).verdict).toEqual("invalid");
});

test("a read revision not lower than the offset of the change is rejected, as a repeat of the record could be applied later", () => {
    const prematureChange = encodeChange("1", putClass("urgent", 0, 5));
    expect(foldRecords(prematureChange, prematureChange).verdicts).toEqual(["invalid", "invalid"]);
});

test("changes that break a reference, duplicate a unique name, repeat an object or delete a missing one are rejected", () => {
    const hash = "a".repeat(64);
    const pathShare = { name: "s/missing", service: "s", serviceClass: "missing", newPathPercent: 5 };
    const base = encodeChange("1", putClass("urgent", 0), putCustomer("c", ["urgent"], undefined, [hash]), putPool("p", "u1"));
    const rejected = [
        encodeChange("2", { op: "delete", kind: "serviceClass", name: "urgent", readRevision: 0 }),
        encodeChange("3", putCustomer("d", ["urgent"], undefined, [hash])),
        encodeChange("4", putPool("q", "u1")),
        encodeChange("5", { op: "put", object: { kind: "pathShare", value: pathShare } }),
        encodeChange("6", putClass("other", 0), putClass("other", 1)),
        encodeChange("7", { op: "delete", kind: "pool", name: "none", readRevision: 0 }),
    ];
    expect(foldRecords(base, ...rejected).verdicts).toEqual(["applied", ...rejected.map(() => "invalid")]);
});

test("key hashes can be swapped between customers in one change, and are free once their owner is deleted", () => {
    const [first, second] = ["a".repeat(64), "b".repeat(64)];
    const put = (name: string, hashes: string[], readRevision?: number) => putCustomer(name, ["urgent"], readRevision, hashes);
    const { verdicts } = foldRecords(
        encodeChange("1", putClass("urgent", 0), put("c", [first]), put("d", [second])),
        encodeChange("2", put("c", [second], 0), put("d", [first], 0)),
        encodeChange("3", put("e", [first])),
        encodeChange("4", { op: "delete", kind: "customer", name: "d", readRevision: 1 }),
        encodeChange("5", put("e", [first])),
        encodeChange("6", put("c", [first], 1)),
        encodeChange("7", put("f", [second, second])),
    );
    expect(verdicts).toEqual(["applied", "applied", "invalid", "applied", "applied", "invalid", "invalid"]);
});

test("malformed, unrelated, oversized and newer-format records are skipped and only advance the offset", () => {
    const records = ["{", "", "[]", `{"type":"change","formatVersion":2}`, `{"type":"change","formatVersion":1}`, "x".repeat(1_048_577)];
    const { verdicts, fold: configFold } = foldRecords(...records.map(text => encoder.encode(text)), Uint8Array.of(0xff, 0xfe));
    expect(verdicts).toEqual(Array.from({ length: 7 }, () => "skipped"));
    expect(configFold.view().offset).toEqual(6);
});

test("an existing view does not change when more records are folded", () => {
    const { fold: configFold } = foldRecords(encodeChange("1", putClass("urgent", 0)));
    const view = configFold.view();
    configFold.fold(1, encodeChange("2", putClass("urgent", 1, 0)));
    expect([view.serviceClasses.get("urgent")?.tier, configFold.view().serviceClasses.get("urgent")?.tier]).toEqual([0, 1]);
});

test("a snapshot with a lower offset is not loaded, so that a fold never goes back", () => {
    const { fold: configFold } = foldRecords(encodeChange("1", putClass("urgent", 0)));
    const oldSnapshot = configFold.snapshot();
    configFold.fold(1, encodeChange("2", putClass("urgent", 1, 0)));
    expect(configFold.load(oldSnapshot)).toEqual(false);
    expect(configFold.offset).toEqual(1);
});

const randomOperation = fc.record({
    kind: fc.constantFrom("serviceClass", "customer"),
    name: fc.constantFrom("a", "b"),
    isPut: fc.boolean(),
    number: fc.nat(3),
    readRevision: fc.option(fc.nat(20), { nil: undefined }),
});
const randomChange = fc.tuple(fc.array(randomOperation, { minLength: 1, maxLength: 2 }), fc.nat(12)).map(([operations, id]) =>
    encodeChange(
        `change-${id}`,
        ...operations.map(({ kind, name, isPut, number, readRevision }) =>
            !isPut
                ? { op: "delete", kind, name, readRevision }
                : kind === "customer"
                ? putCustomer(name, number % 2 === 0 ? ["a"] : ["a", "b"], readRevision)
                : putClass(name, number, readRevision)
        ),
    )
);

test("a fold that starts from a snapshot at any offset equals one that starts from the first record", () => {
    fc.assert(
        fc.property(fc.array(randomChange, { maxLength: 20 }), fc.nat(20), (records, snapshotOffset) => {
            const fromStart = new ConfigFold();
            const fromSnapshot = new ConfigFold();
            records.forEach((record, offset) => {
                const verdict = fromStart.fold(offset, record).verdict;
                if (offset === snapshotOffset) {
                    fromSnapshot.load(JSON.parse(JSON.stringify(fromStart.snapshot())));
                }
                if (offset > snapshotOffset) {
                    expect(fromSnapshot.fold(offset, record).verdict).toEqual(verdict);
                }
            });
            if (snapshotOffset < records.length) {
                expect(JSON.stringify(fromSnapshot.snapshot())).toEqual(JSON.stringify(fromStart.snapshot()));
            }
        }),
        { seed: 7, numRuns: 1_000 },
    );
});
