import { expect } from "earl";
import { test } from "node:test";
import type { InFlightCall } from "./InFlightCall.js";
import { UpstreamLoadTracker } from "./UpstreamLoadTracker.js";

const work = (readMs: number, dueMs?: number): InFlightCall => ({ readMs, delay: 0, dueMs });

test("own work counts until it ends, its prompt until its first event", () => {
    const board = new UpstreamLoadTracker();
    const long = work(80, 200);
    board.recordCallStart("e1", long);
    expect([board.callsInFlight("e1"), board.streams("e1"), board.pendingPrefillMs("e1")]).toEqual([1, 0, 80]);
    board.recordFirstEvent("e1", long);
    expect([board.callsInFlight("e1"), board.streams("e1"), board.pendingPrefillMs("e1")]).toEqual([1, 1, 0]);
    board.recordCallEnd("e1", long, true);
    expect([board.callsInFlight("e1"), board.streams("e1"), board.pendingPrefillMs("e1")]).toEqual([0, 0, 0]);
});

test("a call that ends before its first event leaves no prompt behind", () => {
    const board = new UpstreamLoadTracker();
    const [first, second] = [work(80, 200), work(30, 200)];
    board.recordCallStart("e1", first);
    board.recordCallStart("e1", second);
    board.recordCallEnd("e1", first, false);
    expect([board.callsInFlight("e1"), board.pendingPrefillMs("e1")]).toEqual([1, 30]);
});

test("the most delayed first event tells how late an upstream runs", () => {
    const board = new UpstreamLoadTracker();
    const late = work(80, 200);
    board.recordCallStart("e1", late);
    board.recordCallStart("e1", work(80, 400));
    board.recordCallStart("e1", work(900));
    expect([board.overdueMs("e1", 150), board.overdueMs("e1", 300), board.overdueMs("e2", 300)]).toEqual([0, 100, 0]);
    board.recordFirstEvent("e1", late);
    expect(board.overdueMs("e1", 300)).toEqual(0);
});

test("reports of others replace what they told before, and go with them", () => {
    const [near, far] = [new UpstreamLoadTracker(), new UpstreamLoadTracker()];
    far.recordCallStart("e1", work(50, 100));
    near.applyReport("vm-2", far.takeChanges() ?? [], false, 0);
    near.applyReport("vm-2", [["e2", 3, 1, [10]]], false, 0);
    near.applyReport("vm-2", [["e2", 2, 2, [0]]], false, 0);
    expect([near.callsInFlight("e1"), near.pendingPrefillMs("e1"), near.callsInFlight("e2"), near.streams("e2")]).toEqual([1, 50, 2, 2]);
    near.applyReport("vm-2", far.takeFullReport(), true, 10);
    expect([near.callsInFlight("e1"), near.callsInFlight("e2")]).toEqual([1, 0]);
    near.evictPeers(100, vm => vm === "vm-2");
    expect([near.callsInFlight("e1"), near.pendingPrefillMs("e1")]).toEqual([0, 0]);
});

test("a VM that fell silent is forgotten", () => {
    const board = new UpstreamLoadTracker();
    board.applyReport("vm-2", [["e1", 3, 1, [10]]], true, 0);
    board.evictPeers(2_000, () => false);
    expect(board.callsInFlight("e1")).toEqual(3);
    board.evictPeers(2_600, () => false);
    expect(board.callsInFlight("e1")).toEqual(0);
});

test("nothing is reported twice, and long prompts are urgent news", () => {
    const board = new UpstreamLoadTracker();
    expect(board.takeChanges()).toEqual(undefined);
    board.recordCallStart("e1", work(5, 100));
    expect(board.hasUrgentChanges).toEqual(false);
    board.recordCallStart("e1", work(80, 100));
    expect(board.hasUrgentChanges).toEqual(true);
    expect(board.takeChanges()).toEqual([["e1", 2, 0, [85]]]);
    expect([board.takeChanges(), board.hasUrgentChanges]).toEqual([undefined, false]);
});

test("prompts count for those that are as urgent, whoever sent them", () => {
    const board = new UpstreamLoadTracker();
    board.recordCallStart("e1", { readMs: 30, delay: 0, dueMs: undefined });
    board.recordCallStart("e1", { readMs: 200, delay: 2, dueMs: undefined });
    board.applyReport("vm-2", [["e1", 2, 0, [10, 0, 0, 300]]], false, 0);
    expect([0, 1, 2, 3].map(delay => board.pendingPrefillMs("e1", delay))).toEqual([40, 40, 240, 540]);
    expect(board.pendingPrefillMs("e1")).toEqual(540);
});

test("a call placed for another VM counts until that VM tells of it", () => {
    const board = new UpstreamLoadTracker();
    board.recordPlacementFor("vm-2", "e1", { readMs: 80, delay: 1, dueMs: undefined }, 0);
    board.recordPlacementFor("vm-2", "e1", { readMs: 20, delay: 0, dueMs: undefined }, 0);
    expect([board.callsInFlight("e1"), board.pendingPrefillMs("e1", 0), board.pendingPrefillMs("e1")]).toEqual([2, 20, 100]);
    board.applyReport("vm-2", [["e1", 1, 1, []]], false, 50);
    expect([board.callsInFlight("e1"), board.streams("e1"), board.pendingPrefillMs("e1")]).toEqual([1, 1, 0]);
});
