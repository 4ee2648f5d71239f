import { expect } from "earl";
import { err, ok } from "neverthrow";
import { test } from "node:test";
import { exampleConfig } from "../../core/relay/testing/exampleConfig.js";
import { exampleUpstream } from "../../core/relay/testing/exampleUpstream.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { configureLogging } from "../logs/configureLogging.js";
import { logOutput } from "../logs/logOutput.js";
import type { KeyedRecord } from "../services/KeyedRecord.js";
import { RelayState } from "./RelayState.js";

const unusedSource = undefined as never;
let nextOffset = 0;
const record = (key: string, value: string | undefined): KeyedRecord => ({
    offset: nextOffset++,
    key,
    value: value === undefined ? undefined : Buffer.from(value),
});

const wholeList = { isWhole: true, isRestored: false, isForwarded: false, writtenAfterMs: -Infinity };
const changes = { ...wholeList, isWhole: false };

/**
 * The value of a configuration record is its version, that of an upstream record its state, and optionally its revision and start time; without these
 * each is newer than the one before it.
 */
function createState({ minExpiryMs = 0 } = {}) {
    const removedIds: string[] = [];
    const ignoredEntries: string[] = [];
    let nextRevision = 1;
    const scheduler = new VirtualScheduler();
    const state = new RelayState({
        scheduler,
        signal: new AbortController().signal,
        config: {
            source: unusedSource,
            key: "config",
            decode: value => /^\d+$/.test(String(value)) ? ok(exampleConfig({ version: BigInt(String(value)) })) : err("not a number"),
        },
        upstreams: {
            source: unusedSource,
            decode: (id, value) => {
                const [state, revision = nextRevision++, startedWallMs = 1_000] = String(value).split(" ");
                return state === "broken"
                    ? err("broken")
                    : ok(exampleUpstream(id, {
                        isDraining: state === "draining",
                        revision: Number(revision),
                        startedWallMs: Number(startedWallMs),
                    }));
            },
            minExpiryMs,
            maxGraceMs: Infinity,
        },
        onConfig: () => undefined,
        onUpstreamRemoved: id => removedIds.push(id),
        onEntryIgnored: reason => ignoredEntries.push(reason),
    });
    return { state, removedIds, ignoredEntries, scheduler };
}

const available = (state: RelayState) => state.directory.available("orders").map(upstream => upstream.id);

test("a VM is ready once it has a configuration and the list of upstreams", () => {
    const { state } = createState();
    state.applyConfigRecords([record("config", "4")], changes);
    expect(state.isReady).toEqual(false);
    state.applyUpstreamRecords([], wholeList);
    expect(state.isReady).toEqual(true);
});

test("a record with an older configuration or one that cannot be decoded changes nothing", () => {
    const { state } = createState();
    for (const value of ["4", "9", "7", "x", "9"]) {
        state.applyConfigRecords([record("config", value), record("other", "99")], changes);
    }
    expect(state.routeTable?.version).toEqual(9n);
});

// Guards against a configuration that was ignored because its version was rounded to that of the one in force.
test("the newer one of two configurations is applied if their versions are the same when rounded to a number", () => {
    const { state } = createState();
    for (const value of ["9007199254740992", "9007199254740993", "9007199254740992"]) {
        state.applyConfigRecords([record("config", value)], changes);
    }
    expect(state.routeTable?.version).toEqual(9_007_199_254_740_993n);
});

test("configurations that a later one in the same read supersedes do not fill the reader's link", () => {
    const { state } = createState();
    const forward = (...values: string[]) =>
        state.applyConfigRecords(values.map(value => record("config", value)), changes).map(({ value }) => String(value));
    expect(forward("1", "2", "4")).toEqual(["4"]);
    expect(forward("5", "6", "x")).toEqual(["6", "x"]);
    expect(forward("3", "x")).toEqual(["3", "x"]);
});

test("a configuration that is not newer or cannot be decoded is logged with its offset", () => {
    const lines: Record<string, unknown>[] = [];
    const { write } = logOutput;
    logOutput.write = line => lines.push(JSON.parse(line) as Record<string, unknown>);
    configureLogging({ format: "json", parts: "orioleshelf:state" });
    const { state } = createState();
    state.applyConfigRecords(["9", "7", "x", "9"].map((value, offset) => ({ ...record("config", value), offset })), changes);
    logOutput.write = write;
    configureLogging({ format: "plain", parts: "" });
    expect(lines.map(({ offset, version, inForce }) => [offset, version, inForce])).toEqual([
        [0, 9, undefined],
        [1, 7, 9],
        [2, 9, undefined],
        [3, 9, 9],
    ]);
    expect(new Set(lines.map(line => line["message"])).size).toEqual(3);
});

test("an upstream entry that cannot be decoded leaves the previous one in force", () => {
    const { state } = createState();
    state.applyUpstreamRecords([record("a", "ready"), record("b", "broken")], wholeList);
    state.applyUpstreamRecords([record("a", "broken")], changes);
    expect(available(state)).toEqual(["a"]);
});

test("an upstream gets no more calls once its entry is draining or has been removed", () => {
    const { state, removedIds } = createState();
    state.applyUpstreamRecords([record("a", "ready"), record("b", "ready"), record("c", "ready")], wholeList);
    state.applyUpstreamRecords([record("a", "draining"), record("b", undefined)], changes);
    expect([available(state), removedIds]).toEqual([["c"], ["b"]]);
});

test("an upstream whose entry is removed shortly after a list outage is removed only when the entry stays missing", () => {
    const { state, removedIds, scheduler } = createState();
    state.applyUpstreamRecords([record("a", "ready"), record("b", "ready")], wholeList);
    state.recordListOutage(scheduler.nowMs());
    state.recordListRead(scheduler.nowMs());
    state.applyUpstreamRecords([record("a", undefined), record("b", undefined)], changes);
    scheduler.advance(2_000);
    expect(available(state)).toEqual(["a", "b"]);
    state.applyUpstreamRecords([record("b", "ready")], changes);
    scheduler.advance(100);
    expect([available(state), removedIds]).toEqual([["b"], ["a"]]);
});

test("only records that other VMs may not know yet are returned for forwarding", () => {
    const { state } = createState();
    const applyChanges = (...records: KeyedRecord[]) => state.applyUpstreamRecords(records, changes).map(({ key }) => key);
    state.applyUpstreamRecords([record("a", "ready")], wholeList);
    expect(applyChanges(record("a", "ready"), record("b", "ready"))).toEqual(["b"]);
    expect(applyChanges(record("a", "draining"), record("b", "ready"))).toEqual(["a"]);
    expect(applyChanges(record("a", "draining"), record("b", "broken"))).toEqual(["b"]);
    // A VM that started after the entry that cannot be decoded does not know the one before it.
    expect(applyChanges(record("b", "ready"))).toEqual(["b"]);
    expect(applyChanges(record("b", "ready"))).toEqual([]);
    state.recordListOutage(0);
    expect(applyChanges(record("b", undefined))).toEqual(["b"]);
    // The upstream is kept here, but was removed on VMs that did not see the outage.
    expect(applyChanges(record("b", "ready"))).toEqual(["b"]);
});

// Guards against calls to a draining upstream after a heartbeat that was sent before its draining and held up on its way.
test("an entry that an upstream wrote before it was draining, and that arrives after, changes nothing and is not forwarded", () => {
    const { state, ignoredEntries } = createState();
    state.applyUpstreamRecords([record("a", "ready 7"), record("b", "ready")], wholeList);
    state.applyUpstreamRecords([record("a", "draining 9")], changes);
    const late = record("a", "ready 8");
    expect(state.applyUpstreamRecords([late], changes)).toEqual([]);
    expect([available(state), ignoredEntries]).toEqual([["b"], ["older"]]);
    // The log holds it as the newest entry of its upstream until that one writes again.
    expect(state.applyUpstreamRecords([late, record("b", "ready")], wholeList).map(({ key }) => key)).toEqual(["b"]);
    expect(available(state)).toEqual(["b"]);
    state.applyUpstreamRecords([record("a", "ready 10")], changes);
    expect(available(state)).toEqual(["a", "b"]);
});

// Guards against calls to an upstream that has left, after a heartbeat that was sent before that and held up on its way.
test("an entry that an upstream wrote before it was removed, and that arrives after, does not list it again", () => {
    const { state } = createState();
    state.applyUpstreamRecords([record("a", "ready 7")], wholeList);
    state.applyUpstreamRecords([record("a", "draining 9"), record("a", undefined), record("a", "ready 8")], changes);
    expect(available(state)).toEqual([]);
    state.applyUpstreamRecords([record("a", "ready 8")], wholeList);
    expect([available(state), state.directory.size]).toEqual([[], 0]);
    state.applyUpstreamRecords([record("a", "ready 10")], changes);
    expect(available(state)).toEqual(["a"]);
});

test("an entry of an earlier start that arrives after one of the next start changes nothing", () => {
    const { state, ignoredEntries } = createState();
    state.applyUpstreamRecords([record("a", "ready 40 1000")], wholeList);
    state.applyUpstreamRecords([record("a", "draining 1 2000"), record("a", "ready 39 1000"), record("a", "ready 41 1000")], changes);
    expect([available(state), ignoredEntries]).toEqual([[], ["older", "earlier-incarnation"]]);
});

test("an upstream that restarts under its id is used at once, also if its clock has been set back", () => {
    const { state } = createState();
    state.applyUpstreamRecords([record("a", "draining 40 2000")], wholeList);
    state.applyUpstreamRecords([record("a", "ready 1 1000")], changes);
    expect(available(state)).toEqual(["a"]);
    state.applyUpstreamRecords([record("a", "draining 2 1000"), record("a", "ready 1 3000")], changes);
    expect(available(state)).toEqual(["a"]);
});

test("an entry that cannot be decoded does not block those that follow it", () => {
    const { state } = createState();
    state.applyUpstreamRecords(
        [record("a", "ready 7"), record("a", "broken"), record("a", "draining 8"), record("a", "broken")],
        wholeList,
    );
    expect(available(state)).toEqual([]);
    state.applyUpstreamRecords([record("a", "ready 9")], changes);
    expect(available(state)).toEqual(["a"]);
});

test("an entry that another VM has accepted is applied here too, unless this VM knows a newer one", () => {
    const { state } = createState();
    const forwarded = { ...changes, isForwarded: true };
    state.applyUpstreamRecords([record("a", "draining 2 2000")], wholeList);
    state.applyUpstreamRecords([record("a", "ready 5 1000")], forwarded);
    expect(available(state)).toEqual(["a"]);
    state.applyUpstreamRecords([record("a", "draining 4 1000")], forwarded);
    expect(available(state)).toEqual(["a"]);
});

test("an ignored entry is logged with its revision and the one in force", () => {
    const lines: Record<string, unknown>[] = [];
    const { write } = logOutput;
    logOutput.write = line => lines.push(JSON.parse(line) as Record<string, unknown>);
    configureLogging({ format: "json", parts: "orioleshelf:state" });
    const { state } = createState();
    state.applyUpstreamRecords([record("a", "draining 9 1000"), record("a", "ready 8 1000"), record("a", "ready 20 900")], changes);
    logOutput.write = write;
    configureLogging({ format: "plain", parts: "" });
    expect(
        lines.slice(1).map(({ revision, revisionInForce, startedWallMs, startedWallMsInForce, isDraining }) => [
            revision,
            revisionInForce,
            startedWallMs,
            startedWallMsInForce,
            isDraining,
        ]),
    ).toEqual([[8, 9, 1000, 1000, false], [20, 9, 900, 1000, false]]);
    expect(new Set(lines.map(line => line["message"])).size).toEqual(3);
});

const restoredList = { ...wholeList, isRestored: true };

// Guards against calls that follow an older configuration, or go to an upstream that has left, after the log came back from an older copy.
test("a list that was restored from a copy undoes nothing that is known", () => {
    const { state, removedIds } = createState();
    state.applyConfigRecords([record("config", "9")], wholeList);
    state.applyUpstreamRecords([record("a", "ready 7"), record("b", "ready 7"), record("c", "ready 7")], wholeList);
    state.applyUpstreamRecords([record("a", "draining 9"), record("b", undefined)], changes);
    expect(state.applyConfigRecords([record("config", "7")], restoredList)).toEqual([]);
    expect(state.applyConfigRecords([record("config", "9")], restoredList).length).toEqual(1);
    const inForce = state.applyUpstreamRecords([record("a", "ready 6"), record("b", "ready 7"), record("c", "ready 7")], restoredList);
    expect(inForce.map(({ key }) => key)).toEqual(["c"]);
    expect([state.routeTable?.version, available(state), removedIds]).toEqual([9n, ["c"], ["b"]]);
});

test("an upstream that a restored list lacks stays until it had the time to write its entry again, even the same one", () => {
    const { state, removedIds, scheduler } = createState({ minExpiryMs: 3_600 });
    state.applyUpstreamRecords([record("a", "ready 7"), record("b", "ready 3"), record("c", "draining 4")], wholeList);
    state.applyUpstreamRecords([record("b", "ready 4"), record("d", "ready 1")], { ...changes, writtenAfterMs: scheduler.nowMs() - 100 });
    state.applyUpstreamRecords([record("a", "ready 7")], restoredList);
    scheduler.advance(2_099);
    expect(available(state)).toEqual(["a", "b", "d"]);
    state.applyUpstreamRecords([record("b", "ready 4"), record("c", "draining 4")], changes);
    scheduler.advance(1);
    expect([available(state), removedIds, state.directory.get("c")?.isDraining]).toEqual([["a", "b"], ["d"], true]);
});

test("an entry that is deleted after a restore is not kept", () => {
    const { state, scheduler } = createState();
    state.applyUpstreamRecords([record("a", "ready 7"), record("b", "ready 7")], wholeList);
    state.applyUpstreamRecords([record("b", "ready 7")], restoredList);
    scheduler.advance(500);
    state.applyUpstreamRecords([record("a", "ready 8")], { ...changes, writtenAfterMs: scheduler.nowMs() - 100 });
    state.applyUpstreamRecords([record("a", undefined)], changes);
    expect(available(state)).toEqual(["b"]);
});
