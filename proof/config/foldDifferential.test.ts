import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { ConfigFold } from "../../src/core/config/ConfigFold.js";
import type { ConfigObject } from "../../src/schema/config/ConfigObject.js";
import { ServiceClass } from "../../src/schema/config/ServiceClass.js";
import { NaiveConfig } from "../checker/NaiveConfig.js";

const object: fc.Arbitrary<ConfigObject> = fc.oneof(
    fc.tuple(fc.constantFrom("a", "b"), fc.nat(3)).map(([name, tier]): ConfigObject => ({
        kind: "serviceClass",
        value: ServiceClass.parse({ name, tier, firstTokenTargetMs: 1, tokenGapTargetMs: 1 }),
    })),
    fc.tuple(fc.constantFrom("x", "y"), fc.constantFrom("a", "b")).map(([name, serviceClass]): ConfigObject => ({
        kind: "customer",
        value: { name, keyHashes: [], classes: [serviceClass], defaultClass: serviceClass },
    })),
    fc.constantFrom("a", "b").map((serviceClass): ConfigObject => ({
        kind: "pathShare",
        value: { name: `s/${serviceClass}`, service: "s", serviceClass, newPathPercent: 5 },
    })),
);

/** `readBefore`: distance from the record's offset back to the read revision; 0 and below give invalid revisions. */
const operation = fc.record({
    object,
    isPut: fc.nat(3).map(value => value > 0),
    readBefore: fc.option(fc.integer({ min: -1, max: 6 }), { nil: undefined, freq: 9 }),
});
/** A repeated change id simulates the log storing the same record again. */
const step = fc.record({
    changeId: fc.nat(80),
    operations: fc.array(operation, { minLength: 1, maxLength: 2 }),
    isMalformed: fc.nat(9).map(value => value === 0),
});

function encode(offset: number, { changeId, operations, isMalformed }: typeof step extends fc.Arbitrary<infer T> ? T : never): Uint8Array {
    const encodedOperations = operations.map(({ object: value, isPut, readBefore }) => {
        const readRevision = readBefore === undefined ? undefined : offset - readBefore;
        return isPut
            ? { op: "put", object: value, readRevision }
            : { op: "delete", kind: value.kind, name: value.value.name, readRevision };
    });
    const text = JSON.stringify({
        type: "change",
        formatVersion: 1,
        changeId: `c${changeId}`,
        author: `c${changeId}`,
        operations: encodedOperations,
    });
    return new TextEncoder().encode(isMalformed ? text.slice(1) : text);
}

function contentOf(fold: ConfigFold): string {
    const objects = fold.snapshot().objects.map((
        stored,
    ): [string, unknown] => [`${stored.object.kind}/${stored.object.value.name}`, stored.object.value]);
    return JSON.stringify(objects.sort(([left], [right]) => left < right ? -1 : 1));
}

test("the fold matches the reference fold after every record, with stale, repeated and malformed changes", () => {
    let appliedCount = 0;
    fc.assert(
        fc.property(fc.array(step, { maxLength: 40, size: "max" }), steps => {
            const fold = new ConfigFold();
            const naive = new NaiveConfig();
            const encoded = new Map<number, Uint8Array>();
            steps.forEach((change, offset) => {
                const payload = encoded.get(change.changeId) ?? encode(offset, change);
                encoded.set(change.changeId, payload);
                appliedCount += fold.fold(offset, payload).verdict === "applied" ? 1 : 0;
                naive.fold(offset, payload);
                expect(contentOf(fold)).toEqual(naive.contents[offset] ?? "");
            });
        }),
        { seed: 7, numRuns: 500 },
    );
    expect(appliedCount > 1_000).toEqual(true);
});
