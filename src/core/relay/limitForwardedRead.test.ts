import { expect } from "earl";
import { test } from "node:test";
import { limitForwardedRead } from "./limitForwardedRead.js";

const read = (sizeBytes: number) => ({
    fromOffset: 4,
    nextOffset: 6,
    records: [{ value: undefined }, { value: new Uint8Array(sizeBytes) }],
});

test("a configuration is forwarded to a large fleet, but a large one is only announced, so that it does not block the reader's link", () => {
    expect(limitForwardedRead(read(13_000), 86)).toEqual(read(13_000));
    expect(limitForwardedRead(read(130_000), 8)).toEqual(read(130_000));
    expect(limitForwardedRead(read(130_000), 86)).toEqual({ fromOffset: 6, nextOffset: 6, records: [] });
    expect(limitForwardedRead(read(13_000), 300)).toEqual({ fromOffset: 6, nextOffset: 6, records: [] });
});
