import { ServiceClass } from "../../src/schema/config/ServiceClass.js";
import type { JobClass } from "./JobClass.js";
import type { Workload } from "./Workload.js";

const question: JobClass = {
    serviceClass: ServiceClass.parse({ name: "question", tier: 0, firstTokenTargetMs: 450, tokenGapTargetMs: 35, maxQueueMs: 5_000 }),
    requestShare: 0.6,
    promptMedian: 300,
    promptSpread: 0.5,
    outputMedian: 110,
    outputSpread: 0.6,
    maxOutputTokens: 512,
    sharedDocuments: 0,
    isShort: true,
    isLong: false,
};

const manual: JobClass = {
    serviceClass: ServiceClass.parse({
        name: "manual",
        tier: 1,
        firstTokenTargetMs: 4_000,
        tokenGapTargetMs: 60,
        maxQueueMs: 20_000,
        floorShare: 0.1,
        refuseEarly: true,
    }),
    requestShare: 0.15,
    promptMedian: 9_000,
    promptSpread: 0.5,
    outputMedian: 350,
    outputSpread: 0.8,
    maxOutputTokens: 3_000,
    sharedDocuments: 30,
    isShort: false,
    isLong: true,
};

const summary: JobClass = {
    serviceClass: ServiceClass.parse({
        name: "summary",
        tier: 2,
        firstTokenTargetMs: 10_000,
        tokenGapTargetMs: 100,
        maxQueueMs: 30_000,
        floorShare: 0.05,
        refuseEarly: true,
    }),
    requestShare: 0.25,
    promptMedian: 900,
    promptSpread: 0.7,
    outputMedian: 260,
    outputSpread: 1.0,
    maxOutputTokens: 4_000,
    sharedDocuments: 0,
    isShort: false,
    isLong: false,
};

const chat: JobClass = {
    ...question,
    serviceClass: { ...question.serviceClass, name: "chat" },
    requestShare: 0.55,
    promptMedian: 700,
    outputMedian: 120,
    outputSpread: 0.7,
};

const appraisal: JobClass = {
    ...manual,
    serviceClass: { ...manual.serviceClass, name: "appraisal", firstTokenTargetMs: 6_000 },
    requestShare: 0.15,
    promptMedian: 7_000,
    outputMedian: 700,
    outputSpread: 0.7,
    sharedDocuments: 0,
};

const listing: JobClass = { ...summary, serviceClass: { ...summary.serviceClass, name: "listing" }, requestShare: 0.3 };

const vatukoula: Workload = {
    name: "vatukoula",
    zones: ["lautoka", "nadi", "ba"],
    engineCount: 8,
    vmCount: 9,
    classes: [question, manual, summary],
    durationMs: 60_000,
    baseLoad: 0.6,
    swings: [],
    slowdowns: [],
    crashes: [],
    cuts: [],
};

const maderas: Workload = {
    ...vatukoula,
    name: "maderas",
    zones: ["mvd-a", "mvd-b", "mvd-c"],
    engineCount: 13,
    classes: [chat, appraisal, listing],
};

const swings = [
    { fromMs: 15_000, toMs: 21_000, load: 2.5 },
    { fromMs: 32_000, toMs: 40_000, load: 2.5 },
    { fromMs: 50_000, toMs: 54_000, load: 2.5 },
];

/** All classes in one tier, so that ordering by tier does not favor short requests. */
const oneTier: readonly JobClass[] = [
    question,
    { ...manual, serviceClass: { ...manual.serviceClass, tier: 0, floorShare: 0 } },
    { ...summary, serviceClass: { ...summary.serviceClass, tier: 0, floorShare: 0 } },
];

const sevenTiers: readonly JobClass[] = [...Array(7).keys()].map(tier => ({
    ...(tier % 2 === 0 ? question : summary),
    serviceClass: ServiceClass.parse({
        name: `tier-${tier}`,
        tier,
        firstTokenTargetMs: 450 * (tier + 1),
        tokenGapTargetMs: tier < 2 ? 35 : 35 + 10 * tier,
        maxQueueMs: 5_000 + 3_000 * tier,
        floorShare: tier === 0 ? 0 : 0.01,
        refuseEarly: tier > 2,
    }),
    requestShare: 1 / 7,
    isShort: tier === 0,
}));

/** All workloads, by name. */
export const workloads: readonly Workload[] = [
    { ...vatukoula, name: "vatukoula-steady" },
    { ...maderas, name: "maderas-steady" },
    { ...vatukoula, name: "vatukoula-swing", swings },
    { ...maderas, name: "maderas-swing", swings },
    {
        ...vatukoula,
        name: "vatukoula-manual-burst",
        swings: [{ fromMs: 15_000, toMs: 25_000, load: 2.5, onlyClass: "manual" }],
    },
    {
        ...vatukoula,
        name: "vatukoula-one-tier",
        classes: oneTier,
        swings: [{ fromMs: 15_000, toMs: 25_000, load: 5, onlyClass: "manual", exceedsTopTier: true }],
    },
    {
        ...vatukoula,
        name: "vatukoula-slow",
        slowdowns: [
            { fromMs: 12_000, toMs: 17_000, engines: [1, 4], factor: 5 },
            { fromMs: 30_000, toMs: 38_000, engines: [0, 6], factor: 5 },
        ],
    },
    { ...vatukoula, name: "vatukoula-crash", crashes: [{ fromMs: 20_000, toMs: 35_000, engine: 2 }] },
    { ...maderas, name: "maderas-cut", cuts: [{ fromMs: 20_000, toMs: 35_000, zone: "mvd-c" }] },
    {
        ...vatukoula,
        name: "seven-tiers",
        zones: ["zone-1"],
        engineCount: 120,
        vmCount: 30,
        classes: sevenTiers,
        durationMs: 20_000,
        swings: [{ fromMs: 6_000, toMs: 11_000, load: 2.5 }],
    },
];
