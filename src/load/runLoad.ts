import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import type { Arrival } from "./Arrival.js";
import type { LoadPlan } from "./LoadPlan.js";
import type { LoadSample } from "./LoadSample.js";
import { planArrivals } from "./planArrivals.js";
import { sendLoadRequest } from "./sendLoadRequest.js";

interface RunOptions {
    readonly plan: LoadPlan;
    /** Customer keys by the name of their stream. */
    readonly customerKeys: ReadonlyMap<string, string>;
    readonly signal: AbortSignal;
    /** Called with each request's end. */
    readonly onSample: (sample: LoadSample) => void;
    /** Called each second with the requests sent so far and those still open. */
    readonly onProgress: (sent: number, open: number, planned: number) => void;
}

const progressPeriodMs = 1_000;

/**
 * Sends each request when it is due, whatever has become of those before it (open loop), and resolves when the last answer has
 * ended. Times are taken from when a request was due, so a slow sender or a stalled fleet shows in them in full.
 */
export async function runLoad(options: RunOptions): Promise<void> {
    const { plan, signal } = options;
    const arrivals = planArrivals(plan);
    const startMs = performance.now();
    const nowMs = () => performance.now() - startMs;
    const dispatcher = new Agent({ connect: { timeout: plan.requestTimeoutMs } });
    const open = new Set<Promise<void>>();
    let sent = 0;
    const progress = setInterval(() => {
        options.onProgress(sent, open.size, arrivals.length);
    }, progressPeriodMs);
    try {
        for (const arrival of arrivals) {
            await sleepUntil(arrival.dueMs, nowMs, signal);
            if (signal.aborted) {
                break;
            }
            if (open.size >= plan.maxOpenRequests) {
                options.onSample(notSent(arrival));
                continue;
            }
            const callerUrl = plan.callers[sent % plan.callers.length] ?? "";
            const customerKey = options.customerKeys.get(arrival.stream.name) ?? "";
            sent++;
            const ended = sendLoadRequest(arrival, { callerUrl, customerKey, dispatcher, timeoutMs: plan.requestTimeoutMs, signal, nowMs })
                .then(options.onSample)
                .finally(() => open.delete(ended));
            open.add(ended);
        }
        await Promise.all(open);
    }
    finally {
        clearInterval(progress);
        await dispatcher.destroy();
    }
}

async function sleepUntil(dueMs: number, nowMs: () => number, signal: AbortSignal): Promise<void> {
    const waitMs = dueMs - nowMs();
    if (waitMs > 0) {
        await sleep(waitMs, undefined, { signal }).catch(() => undefined);
    }
}

function notSent({ stream, dueMs }: Arrival): LoadSample {
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
