import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { ConfigFold } from "./ConfigFold.js";

const encoder = new TextEncoder();

function serviceClass(name: string, tier: number): object {
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

function change(changeId: string, ...operations: object[]): Uint8Array {
    return encoder.encode(JSON.stringify({ type: "change", formatVersion: 1, changeId, author: "operator", operations }));
}

function putClass(name: string, tier: number, readRevision?: number): object {
    return { op: "put", object: { kind: "serviceClass", value: serviceClass(name, tier) }, readRevision };
}

function putCustomer(name: string, classes: string[], readRevision?: number, keyHashes: string[] = []): object {
    return { op: "put", object: { kind: "customer", value: { name, keyHashes, classes, defaultClass: classes[0] } }, readRevision };
}

function putPool(name: string, upstreamId: string): object {
    const upstreams = [{ id: upstreamId, url: "http://10.0.0.1:80", availabilityZone: "nadi" }];
    const value = { name, path: "new", kind: "engine", services: ["pumpline-model"], upstreams, repeatable: true };
    return { op: "put", object: { kind: "pool", value }, readRevision: undefined };
}

/** Verdicts of the records, in order. */
function fold(...records: Uint8Array[]): { verdicts: string[]; fold: ConfigFold; } {
    const folded = new ConfigFold();
    const verdicts = records.map((record, offset) => folded.fold(offset, record).verdict);
    return { verdicts, fold: folded };
}

test("of two changes that read the same revision the first in the stream is applied", () => {
    const { verdicts, fold: folded } = fold(
        change("1", putClass("urgent", 0)),
        change("2", putClass("urgent", 1, 0)),
        change("3", putClass("urgent", 2, 0)),
    );
    expect(verdicts).toEqual(["applied", "applied", "conflict"]);
    expect(folded.view().serviceClasses.get("urgent")?.tier).toEqual(1);
});

test("a change is applied whole or not at all", () => {
    const { verdicts, fold: folded } = fold(change("1", putClass("urgent", 0), putCustomer("c", ["missing"])));
    expect(verdicts).toEqual(["invalid"]);
    expect(folded.view().serviceClasses.size).toEqual(0);
});

test("operations of one change may refer to each other", () => {
    expect(fold(change("1", putCustomer("c", ["urgent"]), putClass("urgent", 0))).verdicts).toEqual(["applied"]);
});

test("a record that lands again changes nothing", () => {
    const create = change("1", putClass("urgent", 0));
    const remove = change("2", { op: "delete", kind: "serviceClass", name: "urgent", readRevision: 0 });
    const { verdicts, fold: folded } = fold(create, remove, create, remove);
    expect(verdicts).toEqual(["applied", "applied", "conflict", "conflict"]);
    expect(folded.view().serviceClasses.size).toEqual(0);
});

test("a change that was invalid stays refused when it lands again, also after a snapshot", () => {
    const early = change("1", putCustomer("c", ["urgent"]));
    const { verdicts, fold: folded } = fold(early, change("2", putClass("urgent", 0)), early);
    expect(verdicts).toEqual(["invalid", "applied", "invalid"]);
    const loaded = new ConfigFold();
    loaded.load(folded.snapshot());
    expect(loaded.fold(3, early).verdict).toEqual("invalid");
});

test("a read revision that is not before the change is refused, so that a repeat cannot pass", () => {
    const bold = change("1", putClass("urgent", 0, 5));
    expect(fold(bold, bold).verdicts).toEqual(["invalid", "invalid"]);
});

test("broken references are refused", () => {
    const hash = "a".repeat(64);
    const share = { name: "s/missing", service: "s", serviceClass: "missing", newPathPercent: 5 };
    const base = change("1", putClass("urgent", 0), putCustomer("c", ["urgent"], undefined, [hash]), putPool("p", "u1"));
    const refused = [
        change("2", { op: "delete", kind: "serviceClass", name: "urgent", readRevision: 0 }),
        change("3", putCustomer("d", ["urgent"], undefined, [hash])),
        change("4", putPool("q", "u1")),
        change("5", { op: "put", object: { kind: "pathShare", value: share } }),
        change("6", putClass("other", 0), putClass("other", 1)),
        change("7", { op: "delete", kind: "pool", name: "none", readRevision: 0 }),
    ];
    expect(fold(base, ...refused).verdicts).toEqual(["applied", ...refused.map(() => "invalid")]);
});

test("keys move between customers within one change, and are free once their holder is gone", () => {
    const [first, second] = ["a".repeat(64), "b".repeat(64)];
    const put = (name: string, hashes: string[], readRevision?: number) => putCustomer(name, ["urgent"], readRevision, hashes);
    const { verdicts } = fold(
        change("1", putClass("urgent", 0), put("c", [first]), put("d", [second])),
        change("2", put("c", [second], 0), put("d", [first], 0)),
        change("3", put("e", [first])),
        change("4", { op: "delete", kind: "customer", name: "d", readRevision: 1 }),
        change("5", put("e", [first])),
        change("6", put("c", [first], 1)),
        change("7", put("f", [second, second])),
    );
    expect(verdicts).toEqual(["applied", "applied", "invalid", "applied", "applied", "invalid", "invalid"]);
});

test("malformed, foreign, large and newer records are skipped and do not move the state", () => {
    const records = ["{", "", "[]", `{"type":"change","formatVersion":2}`, `{"type":"change","formatVersion":1}`, "x".repeat(1_048_577)];
    const { verdicts, fold: folded } = fold(...records.map(text => encoder.encode(text)), Uint8Array.of(0xff, 0xfe));
    expect(verdicts).toEqual(Array.from({ length: 7 }, () => "skipped"));
    expect(folded.view().offset).toEqual(6);
});

test("a view does not change when more records are folded", () => {
    const { fold: folded } = fold(change("1", putClass("urgent", 0)));
    const view = folded.view();
    folded.fold(1, change("2", putClass("urgent", 1, 0)));
    expect([view.serviceClasses.get("urgent")?.tier, folded.view().serviceClasses.get("urgent")?.tier]).toEqual([0, 1]);
});

test("a snapshot never moves a fold back", () => {
    const { fold: folded } = fold(change("1", putClass("urgent", 0)));
    const old = folded.snapshot();
    folded.fold(1, change("2", putClass("urgent", 1, 0)));
    expect(folded.load(old)).toEqual(false);
    expect(folded.offset).toEqual(1);
});

const randomOperation = fc.record({
    kind: fc.constantFrom("serviceClass", "customer"),
    name: fc.constantFrom("a", "b"),
    isPut: fc.boolean(),
    number: fc.nat(3),
    readRevision: fc.option(fc.nat(20), { nil: undefined }),
});
const randomChange = fc.tuple(fc.array(randomOperation, { minLength: 1, maxLength: 2 }), fc.nat(12)).map(([operations, id]) =>
    change(
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

test("a fold that begins at any snapshot equals one that begins at the first record", () => {
    fc.assert(
        fc.property(fc.array(randomChange, { maxLength: 20 }), fc.nat(20), (records, cut) => {
            const whole = new ConfigFold();
            const late = new ConfigFold();
            records.forEach((record, offset) => {
                const verdict = whole.fold(offset, record).verdict;
                if (offset === cut) {
                    late.load(JSON.parse(JSON.stringify(whole.snapshot())));
                }
                if (offset > cut) {
                    expect(late.fold(offset, record).verdict).toEqual(verdict);
                }
            });
            if (cut < records.length) {
                expect(JSON.stringify(late.snapshot())).toEqual(JSON.stringify(whole.snapshot()));
            }
        }),
        { seed: 7, numRuns: 1_000 },
    );
});
