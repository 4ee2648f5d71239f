import { expect } from "earl";
import { test } from "node:test";
import { exampleUpstream } from "./testing/exampleUpstream.js";
import { UpstreamDirectory } from "./UpstreamDirectory.js";

const ids = (directory: UpstreamDirectory) => directory.available("orders").map(upstream => upstream.id);

test("draining upstreams and those of other services take no calls", () => {
    const directory = new UpstreamDirectory();
    directory.set(exampleUpstream("b"));
    directory.set(exampleUpstream("a"));
    directory.set(exampleUpstream("c", { service: "other" }));
    expect(ids(directory)).toEqual(["a", "b"]);
    directory.set(exampleUpstream("a", { isDraining: true }));
    expect(ids(directory)).toEqual(["b"]);
    directory.remove("b", 0);
    expect(ids(directory)).toEqual([]);
});

test("an entry that lapses around an outage of the list counts for a while, and is gone when it does not return", () => {
    const directory = new UpstreamDirectory();
    directory.set(exampleUpstream("a"));
    directory.set(exampleUpstream("b"));
    directory.recordListOutage(1_000);
    directory.remove("a", 1_500);
    directory.remove("b", 1_500);
    expect(ids(directory)).toEqual(["a", "b"]);
    directory.set(exampleUpstream("b"));
    expect(directory.removeExpired(3_300)).toEqual(["a"]);
    expect(ids(directory)).toEqual(["b"]);
});

test("an upstream that said it leaves is gone at once, outage or not", () => {
    const directory = new UpstreamDirectory();
    directory.set(exampleUpstream("a", { isDraining: true }));
    directory.recordListOutage(1_000);
    directory.remove("a", 1_500);
    expect(directory.get("a")).toEqual(undefined);
});

test("a whole new list removes what it lacks", () => {
    const directory = new UpstreamDirectory();
    directory.set(exampleUpstream("a"));
    directory.set(exampleUpstream("b"));
    directory.retain(new Set(["b"]), 0);
    expect(ids(directory)).toEqual(["b"]);
});
