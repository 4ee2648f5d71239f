import { expect } from "earl";
import { describe, test } from "node:test";
import { PromptPartQuarantine } from "./PromptPartQuarantine.js";
import type { FleetModelOptions } from "./testing/FleetModelOptions.js";
import { simulateFleet } from "./testing/simulateFleet.js";
import type { WaitingCall } from "./WaitingCall.js";

const dayMs = 86_400_000;

function call(sentMs: number, ...partIds: readonly string[]): WaitingCall {
    return { partIds, sentMs };
}

function createQuarantine(): { crash(engineKey: string, crashedMs: number, ...calls: readonly WaitingCall[]): readonly string[]; } & {
    readonly quarantine: PromptPartQuarantine;
} {
    const quarantine = new PromptPartQuarantine();
    return {
        quarantine,
        crash: (engineKey, crashedMs, ...calls) => quarantine.recordCrash({ engineKey, crashedMs, calls }, crashedMs),
    };
}

/** Quarantines a part by two crashes, at `nowMs - 100` and at `nowMs`. */
function quarantinePart(id: string, nowMs: number, { crash }: ReturnType<typeof createQuarantine>): void {
    crash(`${id}-1`, nowMs - 100, call(nowMs - 200, id));
    expect(crash(`${id}-2`, nowMs, call(nowMs - 50, id))).toEqual([id]);
}

describe("PromptPartQuarantine", () => {
    test("a shared first part that was answered between two crashes stays in service", () => {
        const { quarantine, crash } = createQuarantine();
        crash("a", 1_000, call(900, "first", "deadly"));
        quarantine.recordAnswer(["first", "other"], 1_050);

        expect(crash("b", 1_300, call(1_100, "first", "deadly"))).toEqual(["deadly"]);
        expect(quarantine.admit(["first"], 1_400).kind).toEqual("admitted");
        expect(quarantine.admit(["first", "deadly"], 1_400)).toEqual({ kind: "quarantined", partId: "deadly", retryAfterMs: 4_900 });
    });

    test("engines of a rack that crash at the same moment do not quarantine what waited on all of them", () => {
        const { quarantine, crash } = createQuarantine();
        for (const engine of ["a", "b", "c"]) {
            expect(crash(engine, 1_000, call(900, "part"))).toEqual([]);
        }
        expect(quarantine.isQuarantined("part")).toEqual(false);
    });

    test("reports of several VMs about one crash do not quarantine a part", () => {
        const { quarantine, crash } = createQuarantine();
        crash("a", 1_000, call(900, "part"));
        crash("a", 1_003, call(1_001, "part"));
        expect(quarantine.isQuarantined("part")).toEqual(false);
    });

    test("a call that began to be answered before the crash does not clear its parts", () => {
        const { quarantine, crash } = createQuarantine();
        crash("a", 1_000, call(900, "deadly"));
        expect(quarantine.recordAnswer(["deadly"], 950)).toEqual([]);
        expect(crash("b", 1_300, call(1_100, "deadly"))).toEqual(["deadly"]);
    });

    test("an answer that is known before the crash is reported keeps its parts out of suspicion", () => {
        const { quarantine, crash } = createQuarantine();
        quarantine.recordAnswer(["sound"], 1_020);
        crash("a", 1_000, call(900, "sound"));
        expect(quarantine.isSuspected("sound")).toEqual(false);
    });

    test("a crash that a quarantined part explains leaves no suspicion, whichever report comes first", () => {
        const scenario = createQuarantine();
        quarantinePart("deadly", 1_000, scenario);
        const { quarantine, crash } = scenario;
        crash("probed", 7_000, call(6_900, "sound"));
        crash("probed", 7_000, call(6_900, "deadly"));
        crash("probed", 7_000, call(6_900, "late"));
        expect([quarantine.isSuspected("sound"), quarantine.isSuspected("late")]).toEqual([false, false]);
    });

    test("failed probes of one part do not delay the probe of another", () => {
        const scenario = createQuarantine();
        quarantinePart("deadly", 1_000, scenario);
        quarantinePart("sound", 1_200, scenario);
        const { quarantine, crash } = scenario;
        expect(quarantine.admit(["deadly"], 6_300).kind).toEqual("probe");
        expect(quarantine.admit(["sound"], 6_310).kind).toEqual("quarantined");
        crash("probed", 6_400, call(6_300, "deadly"));

        expect(quarantine.admit(["sound"], 6_460).kind).toEqual("probe");
        expect(quarantine.recordAnswer(["sound"], 6_600)).toEqual(["sound"]);
        expect(quarantine.admit(["sound"], 6_610).kind).toEqual("admitted");
        expect(quarantine.admit(["deadly"], 26_000).kind).toEqual("quarantined");
    });

    test("a VM does not probe while the probe of another VM is under way", () => {
        const scenario = createQuarantine();
        quarantinePart("deadly", 1_000, scenario);
        scenario.quarantine.recordProbe("deadly", 6_100);
        expect(scenario.quarantine.admit(["deadly"], 6_200).kind).toEqual("quarantined");
    });

    test("probes of a part that stays deadly do not crash engines throughout a day", () => {
        const scenario = createQuarantine();
        quarantinePart("deadly", 1_000, scenario);
        let crashes = 2;
        for (let nowMs = 2_000; nowMs < dayMs; nowMs += 1_000) {
            if (scenario.quarantine.admit(["deadly"], nowMs).kind === "probe") {
                scenario.crash(`probed-${crashes++}`, nowMs + 100, call(nowMs, "deadly"));
            }
        }
        // The fifth crash, three more, and one for each quarter of a day.
        expect(crashes).toBeLessThanOrEqual(5 + 3 + 4);
    });

    test("a part that no longer crashes engines is free after one answered probe", () => {
        const scenario = createQuarantine();
        quarantinePart("part", 1_000, scenario);
        expect(scenario.quarantine.admit(["part"], 6_000).kind).toEqual("probe");
        scenario.quarantine.recordAnswer(["part"], 6_100);
        expect(scenario.quarantine.admit(["part"], 6_101).kind).toEqual("admitted");
    });

    test("a VM that has restarted refuses the parts of another VM's snapshot", () => {
        const scenario = createQuarantine();
        quarantinePart("deadly", 1_000, scenario);
        const { quarantine: restarted, crash } = createQuarantine();
        expect(restarted.applySnapshot(scenario.quarantine.takeSnapshot()).added).toEqual(["deadly"]);
        expect(restarted.admit(["deadly"], 1_500).kind).toEqual("quarantined");
        crash("probed", 6_100, call(6_000, "deadly"));
        expect(restarted.admit(["deadly"], 20_000).kind).toEqual("quarantined");
    });

    test("many suspected parts do not push out one that is still asked for", () => {
        const scenario = createQuarantine();
        quarantinePart("deadly", 1_000, scenario);
        for (let index = 0; index < 5_000; index++) {
            scenario.crash(`engine-${index}`, 2_000 + index, call(1_900, `part-${index}`));
            scenario.quarantine.admit(["deadly"], 2_000 + index);
        }
        expect(scenario.quarantine.isQuarantined("deadly")).toEqual(true);
        expect(scenario.quarantine.isSuspected("part-0")).toEqual(false);
    });
});

type FleetSize = Pick<FleetModelOptions, "vmCount" | "engineCount" | "slotsPerEngine" | "callRate" | "stableWindowMs" | "hops">;

const sizes: readonly FleetSize[] = [
    { vmCount: 9, engineCount: 13, slotsPerEngine: 48, callRate: 23, stableWindowMs: 3_000, hops: 1 },
    { vmCount: 87, engineCount: 42, slotsPerEngine: 32, callRate: 95, stableWindowMs: 4_000, hops: 2 },
    { vmCount: 79, engineCount: 78, slotsPerEngine: 12, callRate: 180, stableWindowMs: 4_000, hops: 2 },
];
const [smallFleet, largeFleet] = sizes as [FleetSize, FleetSize];

function createOptions(
    size: FleetSize,
    seed: number,
    share: number,
    options: Partial<FleetModelOptions> = {},
): FleetModelOptions {
    return {
        seed,
        durationMs: 60_000,
        streamMs: 400,
        deadlyParts: [{ id: "deadly", share, fromMs: 4_000, untilMs: Infinity }],
        maxAttempts: 1 + 2 * (seed % 2),
        lossShare: 0,
        disturbances: [],
        vmRestartsMs: [],
        isQuarantineUsed: true,
        ...size,
        ...options,
    };
}

/** Calls with deadly parts that may be sent later than the stable window after the fifth crash. */
const maxLateDeadlyCalls = 3;
/** Share of sound calls with a first part that are to begin at the first attempt, of those that usually do. */
const minFirstAttemptShare = 0.5;

function expectTargetsMet(options: FleetModelOptions): void {
    const { lateDeadlyCalls, worstFirstAttemptShare } = simulateFleet(options);
    expect(lateDeadlyCalls).toBeLessThanOrEqual(maxLateDeadlyCalls);
    expect(worstFirstAttemptShare).toBeGreaterThan(minFirstAttemptShare);
}

describe("PromptPartQuarantine in a fleet", () => {
    for (const size of sizes) {
        for (const share of [0.02, 0.05, 0.2]) {
            test(`a part in ${share} of the calls stops crashing engines, and sound calls go on (${size.vmCount} VMs, ${size.engineCount} engines)`, () => {
                for (const seed of [1, 2, 3, 4]) {
                    expectTargetsMet(createOptions(size, seed, share));
                }
            });
        }
    }

    test("without a quarantine the same part crashes engines beyond the target", () => {
        for (const share of [0.02, 0.05, 0.2]) {
            const { lateDeadlyCalls } = simulateFleet(createOptions(smallFleet, 1, share, { isQuarantineUsed: false, durationMs: 30_000 }));
            expect(lateDeadlyCalls).toBeGreaterThan(maxLateDeadlyCalls);
        }
    });

    test("crashes that no part causes keep no sound calls out", () => {
        for (const size of [smallFleet, largeFleet]) {
            for (const seed of [1, 2, 3, 4]) {
                expectTargetsMet(createOptions(size, seed, 0, {
                    deadlyParts: [],
                    disturbances: [
                        { kind: "crash", atMs: 5_000, engines: [0] },
                        { kind: "crash", atMs: 9_000, engines: [1, 2, 3, 4] },
                        { kind: "flap", fromMs: 14_000, untilMs: 50_000, periodMs: 3_500, engines: [5, 6] },
                        { kind: "reset", atMs: 20_000, vm: 1, engine: 7 },
                    ],
                }));
            }
        }
    });

    test("a deadly part is found beside engines that crash for another reason", () => {
        for (const size of [smallFleet, largeFleet]) {
            for (const seed of [1, 2, 3, 4]) {
                expectTargetsMet(createOptions(size, seed, 0.05, {
                    disturbances: [
                        { kind: "crash", atMs: 4_300, engines: [1, 2, 3] },
                        { kind: "flap", fromMs: 3_000, untilMs: 50_000, periodMs: 3_500, engines: [5, 6] },
                    ],
                }));
            }
        }
    });

    test("two deadly parts at once stop crashing engines", () => {
        for (const size of [smallFleet, largeFleet]) {
            for (const seed of [1, 2, 3, 4]) {
                const deadlyParts = ["deadly-1", "deadly-2"].map(id => ({ id, share: 0.05, fromMs: 4_000, untilMs: Infinity }));
                const { lateDeadlyCalls, worstFirstAttemptShare } = simulateFleet(createOptions(size, seed, 0, { deadlyParts }));
                expect(lateDeadlyCalls).toBeLessThanOrEqual(2 * maxLateDeadlyCalls);
                expect(worstFirstAttemptShare).toBeGreaterThan(minFirstAttemptShare);
            }
        }
    });

    test("a VM that restarts does not send calls with the part again", () => {
        for (const seed of [1, 2, 3, 4]) {
            expectTargetsMet(createOptions(smallFleet, seed, 0.2, { vmRestartsMs: [15_000, 30_000, 45_000] }));
        }
    });

    test("a part that is no longer deadly is served again", () => {
        for (const seed of [1, 2, 3, 4]) {
            const deadlyParts = [{ id: "deadly", share: 0.05, fromMs: 0, untilMs: 8_000 }];
            const { deadlyCrashesMs, answeredDeadlyCalls } = simulateFleet(createOptions(smallFleet, seed, 0, { deadlyParts }));
            expect(deadlyCrashesMs.length).toBeGreaterThanOrEqual(2);
            expect(answeredDeadlyCalls).toBeGreaterThan(0);
        }
    });
});
