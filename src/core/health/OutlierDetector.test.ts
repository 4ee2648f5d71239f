import { expect } from "earl";
import { test } from "node:test";
import { OutlierDetector } from "./OutlierDetector.js";

const engines = ["engine-0", "engine-1", "engine-2", "engine-3"];

function createDetector(): OutlierDetector {
    const detector = new OutlierDetector();
    detector.setEngines(engines, 0);
    return detector;
}

test("an engine five times slower than its peers is slow at the first observation, with a higher factor at the second", () => {
    const detector = createDetector();
    detector.observeLatency("engine-1", 125, 25, 100);
    expect(detector.isSlow("engine-1", 100)).toEqual(true);
    const factorAfterOne = detector.slowdownFactor("engine-1", 100);
    detector.observeLatency("engine-1", 125, 25, 120);
    expect(detector.slowdownFactor("engine-1", 120) > factorAfterOne).toEqual(true);
    expect(detector.isSlow("engine-0", 120)).toEqual(false);
});

test("when all engines are equally slow, none is an outlier", () => {
    const detector = createDetector();
    for (let round = 0; round < 5; round++) {
        engines.forEach(id => {
            detector.observeLatency(id, 125, 25, 100 + round);
        });
    }
    expect(engines.filter(id => detector.isSlow(id, 110))).toEqual([]);
});

test("a slow engine recovers after fast observations, or over time without observations", () => {
    const detector = createDetector();
    detector.observeLatency("engine-1", 250, 25, 0);
    detector.observeLatency("engine-1", 250, 25, 10);
    detector.observeLatency("engine-1", 25, 25, 20);
    detector.observeLatency("engine-1", 25, 25, 30);
    expect(detector.isSlow("engine-1", 30)).toEqual(false);
    detector.observeLatency("engine-2", 250, 25, 40);
    detector.observeLatency("engine-2", 250, 25, 50);
    expect(detector.isSlow("engine-2", 60)).toEqual(true);
    expect(detector.isSlow("engine-2", 5_000)).toEqual(false);
});

test("jitter of short latencies does not count as slowness", () => {
    const detector = createDetector();
    detector.observeLatency("engine-1", 6, 2, 0);
    detector.observeLatency("engine-1", 6, 2, 1);
    expect(detector.isSlow("engine-1", 1)).toEqual(false);
});

test("an engine counts as broken from three consecutive failures until a success, unless more than half of all engines fail", () => {
    const detector = createDetector();
    for (let count = 0; count < 3; count++) {
        detector.recordFailure("engine-0");
        detector.recordFailure("engine-1");
    }
    expect(engines.filter(id => detector.isBroken(id))).toEqual(["engine-0", "engine-1"]);
    for (let count = 0; count < 3; count++) {
        detector.recordFailure("engine-2");
    }
    expect(engines.filter(id => detector.isBroken(id))).toEqual([]);
    detector.recordSuccess("engine-2");
    detector.recordSuccess("engine-0");
    expect(engines.filter(id => detector.isBroken(id))).toEqual(["engine-1"]);
});

test("an engine that got a request is not probed again within the probe interval", () => {
    const detector = createDetector();
    detector.recordGrant("engine-0", 1_000);
    expect(detector.canProbe("engine-0", 1_200)).toEqual(false);
    expect(detector.canProbe("engine-0", 1_600)).toEqual(true);
});
