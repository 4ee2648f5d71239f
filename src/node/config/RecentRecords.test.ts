import { expect } from "earl";
import { test } from "node:test";
import { RecentRecords } from "./RecentRecords.js";

function listOffsetsFrom(recent: RecentRecords, offset: number): number[] | undefined {
    return recent.listFrom(offset)?.map(record => record.offset);
}

test("returns the records from an offset on, or undefined when some of them were evicted", () => {
    const recent = new RecentRecords(-1);
    for (let offset = 0; offset < 1_002; offset++) {
        recent.add({ offset, payload: new Uint8Array(1) });
    }
    expect(listOffsetsFrom(recent, 1)).toEqual(undefined);
    expect(listOffsetsFrom(recent, 2)?.length).toEqual(1_000);
    expect(listOffsetsFrom(recent, 1_002)).toEqual([]);
});

test("a reply stays below the maximum frame size, and an oversized record is returned alone", () => {
    const recent = new RecentRecords(-1);
    for (let offset = 0; offset < 3; offset++) {
        recent.add({ offset, payload: new Uint8Array(600_000) });
    }
    expect(listOffsetsFrom(recent, 0)).toEqual([0]);
    recent.add({ offset: 3, payload: new Uint8Array(1_048_577) });
    expect(listOffsetsFrom(recent, 3)).toEqual([3]);
});

test("a reset after a snapshot discards the held records", () => {
    const recent = new RecentRecords(-1);
    recent.add({ offset: 0, payload: new Uint8Array(1) });
    recent.reset(7);
    expect(listOffsetsFrom(recent, 5)).toEqual(undefined);
    expect(listOffsetsFrom(recent, 8)).toEqual([]);
});
