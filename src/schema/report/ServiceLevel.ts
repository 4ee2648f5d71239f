import * as z from "zod";

const Count = z.number().min(0);

/** Service level of one class on one path, aggregated over the fleet. */
export const ServiceLevel = z.object({
    serviceClass: z.string(),
    path: z.enum(["old", "new"]),
    objective: z.number(),
    good: Count,
    bad: Count,
    /** Share of good requests among the good and bad ones; undefined without any. */
    attainment: z.number().optional(),
    /** Share of the report period's error budget that is left; negative if overspent. */
    budgetLeft: z.number().optional(),
    burn: z.array(z.object({
        windowMs: z.number(),
        good: Count,
        bad: Count,
        /** Rate at which the error budget is spent; 1 spends exactly the budget. Omitted without requests in the window. */
        burnRate: z.number().optional(),
    })),
    alerts: z.array(z.object({
        severity: z.enum(["fast", "slow"]),
        longWindowMs: z.number(),
        shortWindowMs: z.number(),
        threshold: z.number(),
        firing: z.boolean(),
    })),
    badByReason: z.record(z.string(), Count),
    distributions: z.array(z.object({
        measure: z.enum(["queue", "first-token", "token-gap", "total", "short-queue"]),
        count: Count,
        p50Ms: z.number(),
        p95Ms: z.number(),
        p99Ms: z.number(),
        maxMs: z.number(),
    })),
    outputTokens: Count,
    wastedTokens: Count,
    points: z.array(z.object({
        atMs: z.number(),
        good: Count,
        bad: Count,
        queueP50Ms: z.number().optional(),
        queueP99Ms: z.number().optional(),
        shortQueueP99Ms: z.number().optional(),
        outputTokens: Count,
        wastedTokens: Count,
    })),
});
export type ServiceLevel = z.infer<typeof ServiceLevel>;
