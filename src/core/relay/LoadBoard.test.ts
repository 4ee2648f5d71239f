import { expect } from "earl";
import { test } from "node:test";
import { LoadBoard } from "./LoadBoard.js";
import type { PlacedWork } from "./PlacedWork.js";

const work = (readMs: number, dueMs?: number): PlacedWork => ({ readMs, delay: 0, dueMs });

test("own work counts until it ends, its prompt until its first event", () => {
    const board = new LoadBoard();
    const long = work(80, 200);
    board.begin("e1", long);
    expect([board.calls("e1"), board.streams("e1"), board.unreadMs("e1")]).toEqual([1, 0, 80]);
    board.streamBegan("e1", long);
    expect([board.calls("e1"), board.streams("e1"), board.unreadMs("e1")]).toEqual([1, 1, 0]);
    board.end("e1", long, true);
    expect([board.calls("e1"), board.streams("e1"), board.unreadMs("e1")]).toEqual([0, 0, 0]);
});

test("a call that ends before its first event leaves no prompt behind", () => {
    const board = new LoadBoard();
    const [first, second] = [work(80, 200), work(30, 200)];
    board.begin("e1", first);
    board.begin("e1", second);
    board.end("e1", first, false);
    expect([board.calls("e1"), board.unreadMs("e1")]).toEqual([1, 30]);
});

test("the most delayed first event tells how late an upstream runs", () => {
    const board = new LoadBoard();
    const late = work(80, 200);
    board.begin("e1", late);
    board.begin("e1", work(80, 400));
    board.begin("e1", work(900));
    expect([board.overdueMs("e1", 150), board.overdueMs("e1", 300), board.overdueMs("e2", 300)]).toEqual([0, 100, 0]);
    board.streamBegan("e1", late);
    expect(board.overdueMs("e1", 300)).toEqual(0);
});

test("reports of others replace what they told before, and go with them", () => {
    const [near, far] = [new LoadBoard(), new LoadBoard()];
    far.begin("e1", work(50, 100));
    near.receive("vm-2", far.takeReport() ?? [], false, 0);
    near.receive("vm-2", [["e2", 3, 1, [10]]], false, 0);
    near.receive("vm-2", [["e2", 2, 2, [0]]], false, 0);
    expect([near.calls("e1"), near.unreadMs("e1"), near.calls("e2"), near.streams("e2")]).toEqual([1, 50, 2, 2]);
    near.receive("vm-2", far.wholeReport(), true, 10);
    expect([near.calls("e1"), near.calls("e2")]).toEqual([1, 0]);
    near.forget(100, vm => vm === "vm-2");
    expect([near.calls("e1"), near.unreadMs("e1")]).toEqual([0, 0]);
});

test("a VM that fell silent is forgotten", () => {
    const board = new LoadBoard();
    board.receive("vm-2", [["e1", 3, 1, [10]]], true, 0);
    board.forget(2_000, () => false);
    expect(board.calls("e1")).toEqual(3);
    board.forget(2_600, () => false);
    expect(board.calls("e1")).toEqual(0);
});

test("nothing is reported twice, and long prompts are urgent news", () => {
    const board = new LoadBoard();
    expect(board.takeReport()).toEqual(undefined);
    board.begin("e1", work(5, 100));
    expect(board.hasUrgentNews).toEqual(false);
    board.begin("e1", work(80, 100));
    expect(board.hasUrgentNews).toEqual(true);
    expect(board.takeReport()).toEqual([["e1", 2, 0, [85]]]);
    expect([board.takeReport(), board.hasUrgentNews]).toEqual([undefined, false]);
});

test("prompts count for those that are as urgent, whoever sent them", () => {
    const board = new LoadBoard();
    board.begin("e1", { readMs: 30, delay: 0, dueMs: undefined });
    board.begin("e1", { readMs: 200, delay: 2, dueMs: undefined });
    board.receive("vm-2", [["e1", 2, 0, [10, 0, 0, 300]]], false, 0);
    expect([0, 1, 2, 3].map(delay => board.unreadMs("e1", delay))).toEqual([40, 40, 240, 540]);
    expect(board.unreadMs("e1")).toEqual(540);
});

test("a call placed for another VM counts until that VM tells of it", () => {
    const board = new LoadBoard();
    board.placedFor("vm-2", "e1", { readMs: 80, delay: 1, dueMs: undefined }, 0);
    board.placedFor("vm-2", "e1", { readMs: 20, delay: 0, dueMs: undefined }, 0);
    expect([board.calls("e1"), board.unreadMs("e1", 0), board.unreadMs("e1")]).toEqual([2, 20, 100]);
    board.receive("vm-2", [["e1", 1, 1, []]], false, 50);
    expect([board.calls("e1"), board.streams("e1"), board.unreadMs("e1")]).toEqual([1, 1, 0]);
});
