import { expect } from "earl";
import { test } from "node:test";
import { GrowingBuffer } from "./GrowingBuffer.js";

test("small parts of large buffers take no more memory than twice their size", () => {
    const collected = new GrowingBuffer();
    for (let index = 0; index < 50_000; index++) {
        collected.append(Buffer.alloc(64, index).subarray(0, 1));
    }
    expect([collected.length, collected.capacityBytes < 100_000, collected.bytes[49_999]]).toEqual([50_000, true, 49_999 % 256]);
});
