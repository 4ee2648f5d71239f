import { expect } from "earl";
import { test } from "node:test";
import { exampleUpstream } from "./testing/exampleUpstream.js";
import { UpstreamDirectory } from "./UpstreamDirectory.js";

const listAvailableIds = (directory: UpstreamDirectory) => directory.available("orders").map(upstream => upstream.id);

test("draining or removed upstreams and those of other services are not available", () => {
    const directory = new UpstreamDirectory();
    directory.set(exampleUpstream("b"));
    directory.set(exampleUpstream("a"));
    directory.set(exampleUpstream("c", { service: "other" }));
    expect(listAvailableIds(directory)).toEqual(["a", "b"]);
    directory.set(exampleUpstream("a", { isDraining: true }));
    expect(listAvailableIds(directory)).toEqual(["b"]);
    directory.remove("b", 0);
    expect(listAvailableIds(directory)).toEqual([]);
});

test("after an outage of the list, an unlisted upstream stays available for the grace period and is then removed", () => {
    const directory = new UpstreamDirectory();
    directory.set(exampleUpstream("a"));
    directory.set(exampleUpstream("b"));
    directory.recordListOutage(1_000);
    directory.recordListRead(1_450, 1_500);
    directory.remove("a", 1_500);
    directory.remove("b", 1_500);
    expect([listAvailableIds(directory), directory.missingCount]).toEqual([["a", "b"], 2]);
    directory.set(exampleUpstream("b"));
    expect([directory.lastReadDueMs, directory.removeExpired(3_599)]).toEqual([3_500, []]);
    expect(directory.removeExpired(3_600)).toEqual(["a"]);
    expect(listAvailableIds(directory)).toEqual(["b"]);
});

test("a draining upstream is removed at once, even after an outage of the list", () => {
    const directory = new UpstreamDirectory();
    directory.set(exampleUpstream("a", { isDraining: true }));
    directory.recordListOutage(1_000);
    directory.recordListRead(1_450, 1_500);
    directory.remove("a", 1_500);
    expect(directory.get("a")).toEqual(undefined);
});

test("an upstream that is missing from a complete new list is removed", () => {
    const directory = new UpstreamDirectory();
    directory.set(exampleUpstream("a"));
    directory.set(exampleUpstream("b"));
    directory.retain(new Set(["b"]), 0);
    expect(listAvailableIds(directory)).toEqual(["b"]);
});

test("the grace period is counted from the end of the outage, not from the time at which an upstream leaves the list", () => {
    const directory = new UpstreamDirectory();
    directory.set(exampleUpstream("a"));
    directory.set(exampleUpstream("b"));
    directory.recordListOutage(1_000);
    directory.recordListRead(1_450, 1_500);
    directory.remove("a", 3_400);
    expect(directory.removeExpired(3_600)).toEqual(["a"]);
    directory.remove("b", 3_601);
    expect(listAvailableIds(directory)).toEqual([]);
});

test("an upstream that has written its entry after the outage is removed at once", () => {
    const directory = new UpstreamDirectory();
    directory.set(exampleUpstream("a"));
    directory.set(exampleUpstream("b"));
    directory.recordListOutage(1_000);
    directory.recordListRead(1_450, 1_500);
    directory.set(exampleUpstream("a"), 1_000);
    directory.set(exampleUpstream("b"), 1_450);
    directory.remove("a", 2_000);
    directory.remove("b", 2_000);
    expect(listAvailableIds(directory)).toEqual(["a"]);
});

test("an entry that is too young to have expired was deleted, whatever the outage", () => {
    const directory = new UpstreamDirectory({ minExpiryMs: 3_000, maxGraceMs: Infinity });
    directory.set(exampleUpstream("a"), 900);
    directory.set(exampleUpstream("b"), 901);
    directory.recordListOutage(1_000);
    directory.recordListRead(3_850, 3_900);
    directory.remove("a", 3_900);
    directory.remove("b", 3_900);
    expect(listAvailableIds(directory)).toEqual(["a"]);
});

test("a second outage in the grace period extends it", () => {
    const directory = new UpstreamDirectory();
    directory.set(exampleUpstream("a"));
    directory.recordListOutage(1_000);
    directory.recordListRead(1_450, 1_500);
    directory.remove("a", 1_500);
    directory.recordListOutage(2_000);
    expect([directory.graceEndMs, directory.removeExpired(9_000)]).toEqual([undefined, []]);
    directory.recordListRead(9_000, 9_010);
    expect([directory.graceEndMs, directory.removeExpired(11_110)]).toEqual([11_110, ["a"]]);
});

test("the grace period ends in time where only this VM may have been cut off", () => {
    const directory = new UpstreamDirectory({ minExpiryMs: 0, maxGraceMs: 3_000 });
    directory.set(exampleUpstream("a"));
    directory.recordListOutage(1_000);
    directory.recordListRead(2_100, 2_110);
    directory.remove("a", 2_200);
    expect([directory.graceEndMs, directory.lastReadDueMs, directory.removeExpired(4_000)]).toEqual([4_000, 3_900, ["a"]]);
});

test("a read that was held up until the end of an outage shows that the outage lasted longer", () => {
    const directory = new UpstreamDirectory({ minExpiryMs: 0, maxGraceMs: 3_000 });
    directory.set(exampleUpstream("a"));
    directory.recordListOutage(1_000);
    directory.recordListRead(2_100, 3_000);
    directory.remove("a", 3_000);
    expect([directory.graceEndMs, directory.removeExpired(5_099), directory.removeExpired(5_100)]).toEqual([5_100, [], ["a"]]);
});
