import * as z from "zod";
import { SecretSource } from "../schema/settings/SecretSource.js";

const Lengths = z.strictObject({
    /** Half of the requests have at most this many tokens. */
    medianTokens: z.int().positive(),
    /** One in a hundred has at least this many. */
    p99Tokens: z.int().positive(),
}).refine(lengths => lengths.p99Tokens >= lengths.medianTokens, "p99Tokens must not be below medianTokens");

const common = {
    /** Names the stream in results. */
    name: z.string().min(1).max(64),
    serviceClass: z.string().min(1).max(64),
    customerKey: SecretSource,
    ratePerSecond: z.number().positive().max(10_000),
    /** Times at which the rate is multiplied, counted from the start of the run. */
    swings: z.array(z.strictObject({ atMs: z.number().min(0), durationMs: z.number().positive(), factor: z.number().min(0).max(100) }))
        .default([]),
};

/** A load to drive: independent streams of requests whose arrivals do not wait for answers. */
export const LoadPlan = z.strictObject({
    /** Base URLs of callers' ports; requests go to them in turn. */
    callers: z.array(z.url({ protocol: /^https?$/ })).min(1),
    durationMs: z.number().positive().max(3_600_000),
    seed: z.int().default(1),
    /** A request beyond this many open ones is not sent and counted as such. */
    maxOpenRequests: z.int().positive().max(100_000).default(10_000),
    /** Longest wait for the end of an answer. */
    requestTimeoutMs: z.number().positive().default(120_000),
    streams: z.array(z.discriminatedUnion("kind", [
        z.strictObject({ kind: z.literal("chat"), ...common, model: z.string().min(1), prompt: Lengths, answer: Lengths }),
        z.strictObject({
            kind: z.literal("call"),
            ...common,
            service: z.string().min(1),
            method: z.enum(["GET", "POST", "PUT", "DELETE"]),
            path: z.string().startsWith("/"),
            body: z.string().optional(),
            /** Send a new `Idempotency-Key` with each call. */
            isKeyed: z.boolean().default(false),
        }),
    ])).min(1).max(64),
    /** Targets by class, to tell attainment. */
    targets: z.record(z.string(), z.strictObject({ firstTokenMs: z.number().positive(), tokenGapMs: z.number().positive() })).default({}),
});
export type LoadPlan = z.infer<typeof LoadPlan>;
