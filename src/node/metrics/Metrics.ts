import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { MetricsSource } from "../services/MetricsSource.js";
import type { RequestObserver } from "../services/RequestObserver.js";
import type { RequestSummary } from "../services/RequestSummary.js";
import { BoundedLabelSet } from "./BoundedLabelSet.js";

const maxClassLabels = 32;
const maxMessageLabels = 64;
const secondsPerMs = 0.001;
const waitBucketsSeconds = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.45, 1, 2.5, 5, 10, 30, 60, 120];
const gapBucketsSeconds = [0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.25, 1, 5];

/** Metrics of one VM, in the text format of Prometheus. Labels that come from outside are bounded. */
export class Metrics implements RequestObserver, MetricsSource {
    private readonly registry = new Registry();
    private readonly classes = new BoundedLabelSet(maxClassLabels);
    private readonly messages = new BoundedLabelSet(maxMessageLabels);
    private readonly requests = this.counter("requests_total", "Requests that ended.", ["class", "path", "outcome"]);
    private readonly failures = this.counter("request_failures_total", "Requests without a whole answer, by error code.", [
        "class",
        "code",
    ]);
    private readonly queueTime = this.histogram("queue_seconds", "From arrival to first grant.", waitBucketsSeconds);
    private readonly firstToken = this.histogram("first_token_seconds", "From arrival to the first token.", waitBucketsSeconds);
    private readonly tokenGap = this.histogram("token_gap_seconds", "Mean gap between tokens of a request.", gapBucketsSeconds);
    private readonly total = this.histogram("request_seconds", "From arrival to the end.", waitBucketsSeconds);
    private readonly tokens = this.counter("output_tokens_total", "Tokens handed to callers.", ["class", "path"]);
    private readonly wasted = this.counter("wasted_tokens_total", "Tokens that engines produced and no caller got.", ["class", "path"]);
    private readonly controlMessages = this.counter("control_messages_total", "Messages between VMs.", ["message", "direction"]);
    private readonly controlCpu = this.counter("control_cpu_seconds_total", "Processor time of handling messages of VMs.", ["message"]);

    constructor() {
        this.registerGauge("process_cpu_seconds", "Processor time of this process.", () => {
            const { user, system } = process.cpuUsage();
            return (user + system) / 1_000_000;
        });
        this.registerGauge("process_resident_bytes", "Memory of this process.", () => process.memoryUsage.rss());
    }

    requestEnded(end: RequestSummary): void {
        const serviceClass = this.classes.toLabel(end.serviceClass);
        const path = end.path ?? "none";
        this.requests.inc({ class: serviceClass, path, outcome: end.outcome });
        if (end.errorCode !== undefined) {
            this.failures.inc({ class: serviceClass, code: this.messages.toLabel(end.errorCode) });
        }
        observe(this.queueTime, serviceClass, path, end.queueMs);
        observe(this.firstToken, serviceClass, path, end.firstTokenMs);
        observe(this.tokenGap, serviceClass, path, end.meanTokenGapMs);
        observe(this.total, serviceClass, path, end.totalMs);
        this.tokens.inc({ class: serviceClass, path }, end.tokens);
        this.wasted.inc({ class: serviceClass, path }, end.wastedTokens);
    }

    /** Counts one message between VMs, and the processor time that handling it took here. */
    recordControlMessage(message: string, direction: "sent" | "received", handlingMs: number): void {
        const label = this.messages.toLabel(message);
        this.controlMessages.inc({ message: label, direction });
        this.controlCpu.inc({ message: label }, handlingMs * secondsPerMs);
    }

    /** Registers a value that is read when metrics are collected. */
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

    get contentType(): string {
        return this.registry.contentType;
    }

    /** All metrics as text, for `/metrics`. */
    render(): Promise<string> {
        return this.registry.metrics();
    }

    private counter(name: string, help: string, labelNames: string[]): Counter {
        return new Counter({ name: `orioleshelf_${name}`, help, labelNames, registers: [this.registry] });
    }

    private histogram(name: string, help: string, buckets: number[]): Histogram {
        return new Histogram({ name: `orioleshelf_${name}`, help, buckets, labelNames: ["class", "path"], registers: [this.registry] });
    }
}

function observe(histogram: Histogram, serviceClass: string, path: string, valueMs: number | undefined): void {
    if (valueMs !== undefined) {
        histogram.observe({ class: serviceClass, path }, valueMs * secondsPerMs);
    }
}
