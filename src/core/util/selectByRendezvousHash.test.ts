import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { selectByRendezvousHash } from "./selectByRendezvousHash.js";

const names = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 8 }), { minLength: 1, maxLength: 20 });

test("the selection does not depend on the order of candidates, and removing a candidate moves only its own keys", () => {
    fc.assert(
        fc.property(fc.string(), names, fc.nat(), (key, candidates, removedIndex) => {
            const chosen = selectByRendezvousHash(key, candidates);
            expect(selectByRendezvousHash(key, [...candidates].reverse())).toEqual(chosen);
            const removed = candidates[removedIndex % candidates.length]!;
            const chosenAfterRemoval = selectByRendezvousHash(key, candidates.filter(candidate => candidate !== removed));
            if (removed !== chosen) {
                expect(chosenAfterRemoval).toEqual(chosen);
            }
        }),
        { seed: 1 },
    );
});

test("keys spread evenly over candidates whose names differ only in the last digit", () => {
    const candidates = [..."123456789"].map(digit => `vm-${digit}`);
    const counts = new Map<string, number>();
    for (let key = 0; key < 9000; key++) {
        const chosen = selectByRendezvousHash(`shard-${key}`, candidates)!;
        counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
    }
    for (const candidate of candidates) {
        expect(counts.get(candidate)!).toBeBetween(850, 1150);
    }
});

test("the selection is undefined without candidates", () => {
    expect(selectByRendezvousHash("key", [])).toEqual(undefined);
});
