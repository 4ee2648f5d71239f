import { expect } from "earl";
import { test } from "node:test";
import { RecentRecords } from "./RecentRecords.js";

function offsetsFrom(recent: RecentRecords, offset: number): number[] | undefined {
    return recent.from(offset)?.map(record => record.offset);
}

test("gives the records from an offset on, and none when some were dropped", () => {
    const recent = new RecentRecords(-1);
    for (let offset = 0; offset < 1_002; offset++) {
        recent.add({ offset, payload: new Uint8Array(1) });
    }
    expect(offsetsFrom(recent, 1)).toEqual(undefined);
    expect(offsetsFrom(recent, 2)?.length).toEqual(1_000);
    expect(offsetsFrom(recent, 1_002)).toEqual([]);
});

test("a reply stays below the largest frame, and a large record still goes alone", () => {
    const recent = new RecentRecords(-1);
    for (let offset = 0; offset < 3; offset++) {
        recent.add({ offset, payload: new Uint8Array(600_000) });
    }
    expect(offsetsFrom(recent, 0)).toEqual([0]);
    recent.add({ offset: 3, payload: new Uint8Array(1_048_577) });
    expect(offsetsFrom(recent, 3)).toEqual([3]);
});

test("a snapshot starts the records again", () => {
    const recent = new RecentRecords(-1);
    recent.add({ offset: 0, payload: new Uint8Array(1) });
    recent.reset(7);
    expect(offsetsFrom(recent, 5)).toEqual(undefined);
    expect(offsetsFrom(recent, 8)).toEqual([]);
});
