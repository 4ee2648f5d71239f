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
const record = (key: string, value: string | undefined): KeyedRecord => ({
    offset: 0,
    key,
    value: value === undefined ? undefined : Buffer.from(value),
});

/** The value of a configuration record is its version, that of an upstream record its state. */
function createState() {
    const removedIds: string[] = [];
    const scheduler = new VirtualScheduler();
    const state = new RelayState({
        scheduler,
        signal: new AbortController().signal,
        config: {
            source: unusedSource,
            key: "config",
            decode: value => Number.isNaN(Number(value)) ? err("not a number") : ok(exampleConfig({ version: Number(value) })),
        },
        upstreams: {
            source: unusedSource,
            decode: (id, value) =>
                String(value) === "broken" ? err("broken") : ok(exampleUpstream(id, { isDraining: String(value) === "draining" })),
            minExpiryMs: 0,
            maxGraceMs: Infinity,
        },
        onConfig: () => undefined,
        onUpstreamRemoved: id => removedIds.push(id),
    });
    return { state, removedIds, scheduler };
}

const available = (state: RelayState) => state.directory.available("orders").map(upstream => upstream.id);

test("a VM is ready once it has a configuration and the list of upstreams", () => {
    const { state } = createState();
    state.applyConfigRecords([record("config", "4")]);
    expect(state.isReady).toEqual(false);
    state.applyUpstreamRecords([], true);
    expect(state.isReady).toEqual(true);
});

test("a record with an older configuration or one that cannot be decoded changes nothing", () => {
    const { state } = createState();
    for (const value of ["4", "9", "7", "x", "9"]) {
        state.applyConfigRecords([record("config", value), record("other", "99")]);
    }
    expect(state.routeTable?.version).toEqual(9);
});

test("configurations that a later one in the same read supersedes do not fill the reader's link", () => {
    const { state } = createState();
    const forward = (...values: string[]) =>
        state.applyConfigRecords(values.map(value => record("config", value))).map(({ value }) => String(value));
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
    state.applyConfigRecords(["9", "7", "x", "9"].map((value, offset) => ({ ...record("config", value), offset })));
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
    state.applyUpstreamRecords([record("a", "ready"), record("b", "broken")], true);
    state.applyUpstreamRecords([record("a", "broken")], false);
    expect(available(state)).toEqual(["a"]);
});

test("an upstream gets no more calls once its entry is draining or has been removed", () => {
    const { state, removedIds } = createState();
    state.applyUpstreamRecords([record("a", "ready"), record("b", "ready"), record("c", "ready")], true);
    state.applyUpstreamRecords([record("a", "draining"), record("b", undefined)], false);
    expect([available(state), removedIds]).toEqual([["c"], ["b"]]);
});

test("an upstream whose entry is removed shortly after a list outage is removed only when the entry stays missing", () => {
    const { state, removedIds, scheduler } = createState();
    state.applyUpstreamRecords([record("a", "ready"), record("b", "ready")], true);
    state.recordListOutage(scheduler.nowMs());
    state.recordListRead(scheduler.nowMs());
    state.applyUpstreamRecords([record("a", undefined), record("b", undefined)], false);
    scheduler.advance(2_000);
    expect(available(state)).toEqual(["a", "b"]);
    state.applyUpstreamRecords([record("b", "ready")], false);
    scheduler.advance(100);
    expect([available(state), removedIds]).toEqual([["b"], ["a"]]);
});

test("only records that other VMs may not know yet are returned for forwarding", () => {
    const { state } = createState();
    const applyChanges = (...records: KeyedRecord[]) => state.applyUpstreamRecords(records, false).map(({ key }) => key);
    state.applyUpstreamRecords([record("a", "ready")], true);
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
