import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import type { Arrival } from "./Arrival.js";
import type { LoadPlan } from "./LoadPlan.js";
import type { LoadSample } from "./LoadSample.js";
import { planArrivals } from "./planArrivals.js";
import { sendLoadRequest } from "./sendLoadRequest.js";

interface RunOptions {
    readonly plan: LoadPlan;
    /** Customer keys by stream name. */
    readonly customerKeys: ReadonlyMap<string, string>;
    readonly signal: AbortSignal;
    /** Called when a request has ended or was not sent. */
    readonly onSample: (sample: LoadSample) => void;
    /** Called every second with the number of requests sent so far, in flight and planned. */
    readonly onProgress: (sent: number, inFlight: number, planned: number) => void;
}

const progressPeriodMs = 1_000;

/**
 * Sends each request when it is due, regardless of the state of earlier ones (open loop), and resolves when the last answer has
 * ended. After an abort no further request is sent. Latencies are measured from when a request was due, so they include all delays of
 * a slow sender or a stalled fleet (no coordinated omission).
 */
export async function runLoad(options: RunOptions): Promise<void> {
    const { plan, signal } = options;
    const arrivals = planArrivals(plan);
    const startMs = performance.now();
    const nowMs = () => performance.now() - startMs;
    const dispatcher = new Agent({ connect: { timeout: plan.requestTimeoutMs } });
    const inFlightRequests = new Set<Promise<void>>();
    let sent = 0;
    const progressTimer = setInterval(() => {
        options.onProgress(sent, inFlightRequests.size, arrivals.length);
    }, progressPeriodMs);
    try {
        for (const arrival of arrivals) {
            await sleepUntil(arrival.dueMs, nowMs, signal);
            if (signal.aborted) {
                break;
            }
            if (inFlightRequests.size >= plan.maxOpenRequests) {
                options.onSample(createNotSentSample(arrival));
                continue;
            }
            const callerUrl = plan.callers[sent % plan.callers.length] ?? "";
            const customerKey = options.customerKeys.get(arrival.stream.name) ?? "";
            sent++;
            const completion = sendLoadRequest(arrival, {
                callerUrl,
                customerKey,
                dispatcher,
                timeoutMs: plan.requestTimeoutMs,
                signal,
                nowMs,
            })
                .then(options.onSample)
                .finally(() => inFlightRequests.delete(completion));
            inFlightRequests.add(completion);
        }
        await Promise.all(inFlightRequests);
    }
    finally {
        clearInterval(progressTimer);
        await dispatcher.destroy();
    }
}

async function sleepUntil(dueMs: number, nowMs: () => number, signal: AbortSignal): Promise<void> {
    const waitMs = dueMs - nowMs();
    if (waitMs > 0) {
        await sleep(waitMs, undefined, { signal }).catch(() => undefined);
    }
}

function createNotSentSample({ stream, dueMs }: Arrival): LoadSample {
    return {
        stream: stream.name,
        serviceClass: stream.serviceClass,
        dueMs,
        status: 0,
        errorCode: "not_sent",
        isComplete: false,
        totalMs: 0,
        tokens: 0,
    };
}
