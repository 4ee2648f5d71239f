import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { ConfigObject } from "../../schema/config/ConfigObject.js";
import {
    ConfigObjectSchema,
    ExplainResponseSchema,
    OperationSchema,
    ReportResponseSchema,
} from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { ServiceLevelReport } from "../../schema/report/ServiceLevelReport.js";
import { explanationFromProto } from "./explanationFromProto.js";
import { explanationToProto } from "./explanationToProto.js";
import { objectFromProto } from "./objectFromProto.js";
import { objectToProto } from "./objectToProto.js";
import { operationsFromProto } from "./operationsFromProto.js";
import { reportFromProto } from "./reportFromProto.js";
import { reportToProto } from "./reportToProto.js";

const name = fc.string({ minLength: 1, maxLength: 20, unit: "grapheme" });
const positive = fc.double({ min: 0.001, max: 1e9, noNaN: true });
const count = fc.integer({ min: 1, max: 2 ** 31 });
const fraction = fc.double({ min: 0.01, max: 0.99, noNaN: true });

const serviceClass = fc.record({
    name,
    tier: fc.integer({ min: 0, max: 15 }),
    firstTokenTargetMs: positive,
    tokenGapTargetMs: positive,
    totalTargetMs: positive,
    objective: fraction,
    maxQueueMs: positive,
    floorShare: fraction,
    refuseEarly: fc.boolean(),
    defaultMaxOutputTokens: count,
}, { requiredKeys: ["name", "tier", "firstTokenTargetMs", "tokenGapTargetMs"] });
const customer = fc.record({
    name,
    keyHashes: fc.array(fc.string({ unit: fc.constantFrom(..."0123456789abcdef"), minLength: 64, maxLength: 64 }), { maxLength: 8 }),
    classes: fc.array(name, { minLength: 1, maxLength: 16 }),
    defaultClass: name,
    requestsPerMinute: count,
    tokensPerMinute: count,
    concurrentRequests: count,
}, { requiredKeys: ["name", "keyHashes", "classes", "defaultClass"] });
const upstream = fc.record({ id: name, url: fc.webUrl(), availabilityZone: name, leaving: fc.boolean() }, {
    requiredKeys: ["id", "url", "availabilityZone"],
});
const placement = fc.record({
    model: name,
    version: name,
    adapter: fc.string(),
    role: fc.constantFrom("prefill", "decode", "both"),
    replicas: fc.nat(),
}, { requiredKeys: ["model", "version", "replicas"] });
const pool = fc.record({
    name,
    path: fc.constantFrom("old", "new"),
    kind: fc.constantFrom("engine", "plain"),
    services: fc.array(name, { minLength: 1, maxLength: 4 }),
    upstreams: fc.array(upstream, { maxLength: 4 }),
    repeatable: fc.boolean(),
    deduplicatesByKey: fc.boolean(),
    checksFencing: fc.boolean(),
    maxInFlight: count,
    placements: fc.array(placement, { maxLength: 3 }),
}, { requiredKeys: ["name", "path", "kind", "services", "upstreams", "repeatable"] });
const pathShare = fc.record({
    name: fc.string({ minLength: 3 }),
    service: name,
    serviceClass: name,
    newPathPercent: fc.double({ min: 0, max: 100, noNaN: true }),
});
const object = fc.oneof(
    fc.record({ kind: fc.constant("serviceClass"), value: serviceClass }),
    fc.record({ kind: fc.constant("customer"), value: customer }),
    fc.record({ kind: fc.constant("pool"), value: pool }),
    fc.record({ kind: fc.constant("pathShare"), value: pathShare }),
).map(candidate => ConfigObject.safeParse(candidate)).filter(parsed => parsed.success).map(parsed => parsed.data as ConfigObject);

test("every configuration object survives a round trip through the binary proto encoding", () => {
    fc.assert(
        fc.property(object, value => {
            const received = fromBinary(ConfigObjectSchema, toBinary(ConfigObjectSchema, objectToProto(value)));
            expect(objectFromProto(received)._unsafeUnwrap()).toEqual(value);
        }),
        { seed: 7, numRuns: 500 },
    );
});

test("malformed operations never throw: they convert to operations or to errors", () => {
    fc.assert(
        fc.property(
            fc.array(fc.oneof(object.map(value => toBinary(ConfigObjectSchema, objectToProto(value))), fc.uint8Array({ maxLength: 40 }))),
            parts => {
                const operations = parts.flatMap(bytes => {
                    try {
                        return [fromBinary(OperationSchema, bytes)];
                    }
                    catch {
                        return [];
                    }
                });
                return operationsFromProto(operations).match(read => read.length === operations.length, errors => errors.length > 0);
            },
        ),
        { seed: 8, numRuns: 300 },
    );
});

const fact = fc.oneof(fc.string(), fc.double({ noNaN: true }), fc.boolean());

test("the facts of an explanation survive a round trip through the binary proto encoding", () => {
    const event = fc.record({
        atMs: fc.double({ noNaN: true, noDefaultInfinity: true }),
        vm: name,
        kind: fc.constantFrom("queued" as const, "granted" as const, "judged" as const),
        subject: name,
        facts: fc.dictionary(name, fact, { maxKeys: 5 }),
    });
    fc.assert(
        fc.property(fc.array(event, { maxLength: 5 }), events => {
            const explanation = { events, reasons: [], askedVms: ["a"], silentVms: [], held: [] };
            const received = fromBinary(ExplainResponseSchema, toBinary(ExplainResponseSchema, explanationToProto(explanation)));
            const facts = explanationFromProto(received).events.map(receivedEvent => Object.entries(receivedEvent.facts).sort());
            expect(facts).toEqual(events.map(sentEvent => Object.entries(sentEvent.facts).sort()));
        }),
        { seed: 9, numRuns: 200 },
    );
});

test("a report survives a round trip through the binary proto encoding, and absent values stay absent", () => {
    const report = ServiceLevelReport.parse({
        generatedAtMs: 2.5,
        sinceAtMs: 0,
        vms: ["a"],
        silentVms: [],
        logRead: true,
        levels: [{
            serviceClass: "urgent",
            path: "old",
            objective: 0.95,
            good: 0,
            bad: 0,
            burn: [{ windowMs: 300_000, good: 0, bad: 0 }],
            alerts: [{ severity: "fast", longWindowMs: 1, shortWindowMs: 1, threshold: 14.4, firing: false }],
            badByReason: { shed: 2 },
            distributions: [{ measure: "queue", count: 1, p50Ms: 0, p95Ms: 0, p99Ms: 0, maxMs: 0 }],
            outputTokens: 2 ** 40,
            wastedTokens: 0,
            points: [{ atMs: 0, good: 0, bad: 0, outputTokens: 0, wastedTokens: 0, queueP50Ms: 0 }],
        }],
    });
    const received = fromBinary(ReportResponseSchema, toBinary(ReportResponseSchema, reportToProto(report)));
    expect(reportFromProto(received)).toEqual(report);
});
