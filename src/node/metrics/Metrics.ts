import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { MetricsSource } from "../services/MetricsSource.js";
import type { RequestObserver } from "../services/RequestObserver.js";
import type { RequestSummary } from "../services/RequestSummary.js";
import { BoundedLabelSet } from "./BoundedLabelSet.js";

const maxClassLabels = 32;
const maxMessageAndErrorLabels = 64;
const secondsPerMs = 0.001;
const latencyBucketsSeconds = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.45, 1, 2.5, 5, 10, 30, 60, 120];
const tokenGapBucketsSeconds = [0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.25, 1, 5];

/** Metrics of one VM in the Prometheus text format. The cardinality of labels that come from requests and messages is bounded. */
export class Metrics implements RequestObserver, MetricsSource {
    private readonly registry = new Registry();
    private readonly classLabels = new BoundedLabelSet(maxClassLabels);
    /** Types of messages between VMs and codes of errors, which share one limit. */
    private readonly messageAndErrorLabels = new BoundedLabelSet(maxMessageAndErrorLabels);
    private readonly requests = this.createCounter("requests_total", "Requests that have ended.", ["class", "path", "outcome"]);
    private readonly failures = this.createCounter("request_failures_total", "Requests without a complete response, by error code.", [
        "class",
        "code",
    ]);
    private readonly queueTime = this.createHistogram("queue_seconds", "Time from arrival to the first grant.", latencyBucketsSeconds);
    private readonly firstTokenTime = this.createHistogram(
        "first_token_seconds",
        "Time from arrival to the first token.",
        latencyBucketsSeconds,
    );
    private readonly meanTokenGap = this.createHistogram(
        "token_gap_seconds",
        "Mean token gap of a request.",
        tokenGapBucketsSeconds,
    );
    private readonly totalTime = this.createHistogram(
        "request_seconds",
        "Time from arrival to the end of the request.",
        latencyBucketsSeconds,
    );
    private readonly tokens = this.createCounter("output_tokens_total", "Tokens delivered to callers.", ["class", "path"]);
    private readonly wastedTokens = this.createCounter("wasted_tokens_total", "Tokens that engines generated but no caller received.", [
        "class",
        "path",
    ]);
    private readonly controlMessages = this.createCounter("control_messages_total", "Messages between VMs.", ["message", "direction"]);
    private readonly controlCpuTime = this.createCounter("control_cpu_seconds_total", "CPU time spent handling messages between VMs.", [
        "message",
    ]);

    constructor() {
        this.registerGauge("process_cpu_seconds", "CPU time of this process.", () => {
            const { user, system } = process.cpuUsage();
            return (user + system) / 1_000_000;
        });
        this.registerGauge("process_resident_bytes", "Resident memory of this process.", () => process.memoryUsage.rss());
    }

    requestEnded(summary: RequestSummary): void {
        const serviceClass = this.classLabels.toLabel(summary.serviceClass);
        const path = summary.path ?? "none";
        this.requests.inc({ class: serviceClass, path, outcome: summary.outcome });
        if (summary.errorCode !== undefined) {
            this.failures.inc({ class: serviceClass, code: this.messageAndErrorLabels.toLabel(summary.errorCode) });
        }
        observeMs(this.queueTime, serviceClass, path, summary.queueMs);
        observeMs(this.firstTokenTime, serviceClass, path, summary.firstTokenMs);
        observeMs(this.meanTokenGap, serviceClass, path, summary.meanTokenGapMs);
        observeMs(this.totalTime, serviceClass, path, summary.totalMs);
        this.tokens.inc({ class: serviceClass, path }, summary.tokens);
        this.wastedTokens.inc({ class: serviceClass, path }, summary.wastedTokens);
    }

    /** Counts one message between VMs and adds the CPU time, in ms, that this VM spent on it. */
    recordControlMessage(message: string, direction: "sent" | "received", handlingMs: number): void {
        const label = this.messageAndErrorLabels.toLabel(message);
        this.controlMessages.inc({ message: label, direction });
        this.controlCpuTime.inc({ message: label }, handlingMs * secondsPerMs);
    }

    /** Registers a gauge whose value is read whenever metrics are collected. `name` is given without the `orioleshelf_` prefix. */
    registerGauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name: `orioleshelf_${name}`,
            help,
            registers: [this.registry],
            collect() {
                this.set(read());
            },
        });
    }

    /** Like `registerGauge`, for a gauge with labels: `read` returns all its samples. The caller bounds the label values. */
    registerLabelledGauge(
        name: string,
        help: string,
        labelNames: string[],
        read: () => readonly { readonly labels: Readonly<Record<string, string>>; readonly value: number; }[],
    ): void {
        new Gauge({
            name: `orioleshelf_${name}`,
            help,
            labelNames,
            registers: [this.registry],
            collect() {
                this.reset();
                for (const { labels, value } of read()) {
                    this.set(labels, value);
                }
            },
        });
    }

    get contentType(): string {
        return this.registry.contentType;
    }

    /** Renders all metrics as text for `/metrics`. */
    render(): Promise<string> {
        return this.registry.metrics();
    }

    /** Creates a counter. The caller bounds the values of its labels. */
    createCounter(name: string, help: string, labelNames: string[]): Counter {
        return new Counter({ name: `orioleshelf_${name}`, help, labelNames, registers: [this.registry] });
    }

    /** Creates a histogram. The caller bounds the values of its labels. */
    createHistogram(name: string, help: string, buckets: number[], labelNames = ["class", "path"]): Histogram {
        return new Histogram({ name: `orioleshelf_${name}`, help, buckets, labelNames, registers: [this.registry] });
    }
}

function observeMs(histogram: Histogram, serviceClass: string, path: string, valueMs: number | undefined): void {
    if (valueMs !== undefined) {
        histogram.observe({ class: serviceClass, path }, valueMs * secondsPerMs);
    }
}
