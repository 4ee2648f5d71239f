import { expect } from "earl";
import { test } from "node:test";
import { IndexedHeap } from "./IndexedHeap.js";

interface Entry {
    readonly key: number;
    position: number;
}

/** Average number of comparisons for one push and one removal of the first entry in a heap of this size. */
function measureComparisonsPerCycle(size: number): number {
    let comparisons = 0;
    const heap = new IndexedHeap<Entry>(
        (left, right) => {
            comparisons++;
            return left.key < right.key;
        },
        entry => entry.position,
        (entry, position) => {
            entry.position = position;
        },
    );
    let key = 1;
    const createNextEntry = () => ({ key: key = key * 48_271 % 2_147_483_647, position: -1 });
    for (let count = 0; count < size; count++) {
        heap.push(createNextEntry());
    }
    comparisons = 0;
    const cycles = 1_000;
    for (let count = 0; count < cycles; count++) {
        heap.push(createNextEntry());
        heap.remove(heap.peek() as Entry);
    }
    return comparisons / cycles;
}

test("a long queue does not slow the dispatcher down: push and removal stay O(log n) up to 100,000 entries", () => {
    for (const size of [100, 1_000, 10_000, 100_000]) {
        expect(measureComparisonsPerCycle(size) <= 4 * Math.log2(size)).toEqual(true);
    }
});
