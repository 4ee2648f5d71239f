import { expect } from "earl";
import { test } from "node:test";
import { OutlierDetector } from "./OutlierDetector.js";

const engines = ["engine-0", "engine-1", "engine-2", "engine-3"];

function boardOf(): OutlierDetector {
    const board = new OutlierDetector();
    board.setEngines(engines, 0);
    return board;
}

test("an engine five times slower than its peers shows at the first observation and clearly at the second", () => {
    const board = boardOf();
    board.observeLatency("engine-1", 125, 25, 100);
    expect(board.isSlow("engine-1", 100)).toEqual(true);
    const once = board.slowdownFactor("engine-1", 100);
    board.observeLatency("engine-1", 125, 25, 120);
    expect(board.slowdownFactor("engine-1", 120) > once).toEqual(true);
    expect(board.isSlow("engine-0", 120)).toEqual(false);
});

test("when all engines are slow, none is", () => {
    const board = boardOf();
    for (let round = 0; round < 5; round++) {
        engines.forEach(id => {
            board.observeLatency(id, 125, 25, 100 + round);
        });
    }
    expect(engines.filter(id => board.isSlow(id, 110))).toEqual([]);
});

test("a slow engine is trusted again when it is seen fast, or by and by when nothing is seen", () => {
    const board = boardOf();
    board.observeLatency("engine-1", 250, 25, 0);
    board.observeLatency("engine-1", 250, 25, 10);
    board.observeLatency("engine-1", 25, 25, 20);
    board.observeLatency("engine-1", 25, 25, 30);
    expect(board.isSlow("engine-1", 30)).toEqual(false);
    board.observeLatency("engine-2", 250, 25, 40);
    board.observeLatency("engine-2", 250, 25, 50);
    expect(board.isSlow("engine-2", 60)).toEqual(true);
    expect(board.isSlow("engine-2", 5_000)).toEqual(false);
});

test("jitter of short times is not taken for slowness", () => {
    const board = boardOf();
    board.observeLatency("engine-1", 6, 2, 0);
    board.observeLatency("engine-1", 6, 2, 1);
    expect(board.isSlow("engine-1", 1)).toEqual(false);
});

test("an engine that fails three times in a row is broken until one call succeeds, but never most engines at once", () => {
    const board = boardOf();
    for (let count = 0; count < 3; count++) {
        board.recordFailure("engine-0");
        board.recordFailure("engine-1");
    }
    expect(engines.filter(id => board.isBroken(id))).toEqual(["engine-0", "engine-1"]);
    for (let count = 0; count < 3; count++) {
        board.recordFailure("engine-2");
    }
    expect(engines.filter(id => board.isBroken(id))).toEqual([]);
    board.recordSuccess("engine-2");
    board.recordSuccess("engine-0");
    expect(engines.filter(id => board.isBroken(id))).toEqual(["engine-1"]);
});

test("an engine out of favour is probed once a period", () => {
    const board = boardOf();
    board.recordGrant("engine-0", 1_000);
    expect(board.canProbe("engine-0", 1_200)).toEqual(false);
    expect(board.canProbe("engine-0", 1_600)).toEqual(true);
});
