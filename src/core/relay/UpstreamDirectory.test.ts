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
    directory.remove("a", 1_500);
    directory.remove("b", 1_500);
    expect(listAvailableIds(directory)).toEqual(["a", "b"]);
    directory.set(exampleUpstream("b"));
    expect(directory.removeExpired(3_300)).toEqual(["a"]);
    expect(listAvailableIds(directory)).toEqual(["b"]);
});

test("a draining upstream is removed at once, even after an outage of the list", () => {
    const directory = new UpstreamDirectory();
    directory.set(exampleUpstream("a", { isDraining: true }));
    directory.recordListOutage(1_000);
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
