import { expect } from "earl";
import { err, ok } from "neverthrow";
import { test } from "node:test";
import { exampleConfig } from "../../core/relay/testing/exampleConfig.js";
import { exampleUpstream } from "../../core/relay/testing/exampleUpstream.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import type { KeyedRecord } from "../services/KeyedRecord.js";
import { RelayState } from "./RelayState.js";

const noSource = undefined as never;
const record = (key: string, value: string | undefined): KeyedRecord => ({
    offset: 0,
    key,
    value: value === undefined ? undefined : Buffer.from(value),
});

/** Values are versions for configurations, and states for upstreams. */
function newState() {
    const gone: string[] = [];
    const scheduler = new VirtualScheduler();
    const state = new RelayState({
        scheduler,
        config: {
            source: noSource,
            key: "config",
            decode: value => Number.isNaN(Number(value)) ? err("no number") : ok(exampleConfig({ version: Number(value) })),
        },
        upstreams: {
            source: noSource,
            decode: (id, value) =>
                String(value) === "broken" ? err("broken") : ok(exampleUpstream(id, { isDraining: String(value) === "draining" })),
        },
        onConfig: () => undefined,
        onUpstreamRemoved: id => gone.push(id),
    });
    return { state, gone, scheduler };
}

const available = (state: RelayState) => state.directory.available("orders").map(upstream => upstream.id);

test("a VM is ready once it has a configuration and the list", () => {
    const { state } = newState();
    state.applyConfigRecords([record("config", "4")]);
    expect(state.isReady).toEqual(false);
    state.applyUpstreamRecords([], true);
    expect(state.isReady).toEqual(true);
});

test("the version never goes back, and what cannot be read changes nothing", () => {
    const { state } = newState();
    for (const value of ["4", "9", "7", "x", "9"]) {
        state.applyConfigRecords([record("config", value), record("other", "99")]);
    }
    expect(state.routeTable?.version).toEqual(9);
});

test("an entry that cannot be read leaves the last one in force", () => {
    const { state } = newState();
    state.applyUpstreamRecords([record("a", "ready"), record("b", "broken")], true);
    state.applyUpstreamRecords([record("a", "broken")], false);
    expect(available(state)).toEqual(["a"]);
});

test("upstreams leave by their own word or by leaving the list", () => {
    const { state, gone } = newState();
    state.applyUpstreamRecords([record("a", "ready"), record("b", "ready"), record("c", "ready")], true);
    state.applyUpstreamRecords([record("a", "draining"), record("b", undefined)], false);
    expect([available(state), gone]).toEqual([["c"], ["b"]]);
});

test("entries that lapse around an outage are gone only when they stay away", () => {
    const { state, gone, scheduler } = newState();
    state.applyUpstreamRecords([record("a", "ready"), record("b", "ready")], true);
    state.recordListOutage();
    state.applyUpstreamRecords([record("a", undefined), record("b", undefined)], false);
    expect(available(state)).toEqual(["a", "b"]);
    state.applyUpstreamRecords([record("b", "ready")], false);
    scheduler.advance(2_000);
    state.removeExpiredUpstreams();
    expect([available(state), gone]).toEqual([["b"], ["a"]]);
});

test("only what other VMs may not know yet is news", () => {
    const { state } = newState();
    const news = (...records: KeyedRecord[]) => state.applyUpstreamRecords(records, false).map(({ key }) => key);
    state.applyUpstreamRecords([record("a", "ready")], true);
    expect(news(record("a", "ready"), record("b", "ready"))).toEqual(["b"]);
    expect(news(record("a", "draining"), record("b", "ready"))).toEqual(["a"]);
    expect(news(record("a", "draining"), record("b", "broken"))).toEqual(["b"]);
    // A VM that began after the entry that cannot be read does not know the one before it.
    expect(news(record("b", "ready"))).toEqual(["b"]);
    expect(news(record("b", "ready"))).toEqual([]);
    state.recordListOutage();
    expect(news(record("b", undefined))).toEqual(["b"]);
    // It is kept here, but was dropped where the outage was not seen.
    expect(news(record("b", "ready"))).toEqual(["b"]);
});
