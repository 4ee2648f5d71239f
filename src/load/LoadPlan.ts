import * as z from "zod";
import { SecretSource } from "../schema/settings/SecretSource.js";

const TokenLengths = z.strictObject({
    /** Median number of tokens. */
    medianTokens: z.int().positive(),
    /** 99th percentile of the number of tokens. */
    p99Tokens: z.int().positive(),
}).refine(lengths => lengths.p99Tokens >= lengths.medianTokens, "p99Tokens must not be below medianTokens");

const commonStreamFields = {
    /** Name of the stream in results. */
    name: z.string().min(1).max(64),
    serviceClass: z.string().min(1).max(64),
    customerKey: SecretSource,
    ratePerSecond: z.number().positive().max(10_000),
    /** Periods in which the rate is multiplied by `factor`; `atMs` counts from the start of the run. */
    swings: z.array(z.strictObject({ atMs: z.number().min(0), durationMs: z.number().positive(), factor: z.number().min(0).max(100) }))
        .default([]),
};

/** Open-loop load: independent streams of requests whose arrivals do not depend on earlier answers. */
export const LoadPlan = z.strictObject({
    /** Base URLs of the caller ports of VMs; requests are sent to them round-robin. */
    callers: z.array(z.url({ protocol: /^https?$/ })).min(1),
    durationMs: z.number().positive().max(3_600_000),
    seed: z.int().default(1),
    /** With this many requests in flight, a further one is not sent and is reported with error code `not_sent`. */
    maxOpenRequests: z.int().positive().max(100_000).default(10_000),
    /** Timeout from sending a request to the end of its answer. */
    requestTimeoutMs: z.number().positive().default(120_000),
    streams: z.array(z.discriminatedUnion("kind", [
        z.strictObject({
            kind: z.literal("chat"),
            ...commonStreamFields,
            model: z.string().min(1),
            prompt: TokenLengths,
            answer: TokenLengths,
        }),
        z.strictObject({
            kind: z.literal("call"),
            ...commonStreamFields,
            service: z.string().min(1),
            method: z.enum(["GET", "POST", "PUT", "DELETE"]),
            path: z.string().startsWith("/"),
            body: z.string().optional(),
            /** Whether each call carries a new `Idempotency-Key`. */
            isKeyed: z.boolean().default(false),
        }),
    ])).min(1).max(64),
    /** Latency targets by class, from which attainment is calculated. */
    targets: z.record(z.string(), z.strictObject({ firstTokenMs: z.number().positive(), tokenGapMs: z.number().positive() })).default({}),
});
export type LoadPlan = z.infer<typeof LoadPlan>;
