import type { Counter } from "prom-client";
import type { Metrics } from "../metrics/Metrics.js";

const secondsPerMs = 0.001;

type WindowResult =
    | "recorded"
    | "reported"
    | "skipped-late"
    | "skipped-incomplete"
    | "skipped-epoch"
    | "skipped-conflict"
    | "skipped-unreadable"
    | "rejected";

/** Metrics of usage reports: windows by what became of them, and clocks. */
export class UsageMetrics {
    private readonly windows: Counter;
    private readonly replies: Counter;

    constructor(metrics: Metrics, clocks: { readonly ownErrorMs: () => number | undefined; readonly count: () => number; }) {
        this.windows = metrics.createCounter("usage_windows_total", "Windows of usage reports, by what became of them on this VM.", [
            "result",
        ]);
        this.replies = metrics.createCounter("usage_replies_total", "Replies of the platform's API to usage reports.", ["reply"]);
        metrics.registerLabelledGauge(
            "usage_clock_error_seconds",
            "Wall clock of this VM less the median of the fleet's clocks; no sample while that is unknown.",
            [],
            () => {
                const errorMs = clocks.ownErrorMs();
                return errorMs === undefined ? [] : [{ labels: {}, value: errorMs * secondsPerMs }];
            },
        );
        metrics.registerGauge("usage_clocks", "VMs whose clocks make up the median on this VM; 1 where it does not collect.", clocks.count);
    }

    recordWindow(result: WindowResult, count = 1): void {
        this.windows.inc({ result }, count);
    }

    recordReply(reply: string): void {
        this.replies.inc({ reply });
    }
}
