import type { Counter, Histogram } from "prom-client";
import type { EngineSpeeds } from "../../core/relay/EngineSpeeds.js";
import type { HedgeResult } from "../../core/retry/HedgeResult.js";
import type { Metrics } from "../metrics/Metrics.js";

const secondsPerMs = 0.001;
const latenessBucketsSeconds = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5];
const heardSources = ["reader", "store"] as const;

interface LogStream {
    readonly name: string;
    /** Rises each time the log is restored from a copy; undefined until the log has been heard of. */
    readonly epoch: () => number | undefined;
    /** Offset of the next record to apply; undefined until the newest records are known. */
    readonly nextOffset: () => number | undefined;
    /** Time since another VM's read was received or the store was read; undefined if neither has happened. */
    readonly heardMsAgo: (source: "reader" | "store") => number | undefined;
}

/** Metrics of a VM that relays calls: the configuration in force, log streams, refusals and late timers. */
export class RelayMetrics {
    private readonly streams: LogStream[] = [];
    private readonly reads: Counter;
    private readonly sentReads: Counter;
    private readonly receivedReads: Counter;
    private readonly ignoredEntries: Counter;
    private readonly refusals: Counter;
    private readonly closedConnections: Counter;
    private readonly hedges: Counter;
    private readonly admissionRefusals: Counter;
    private readonly timerLateness: Histogram;

    constructor(private readonly metrics: Metrics, configVersion: () => bigint | undefined) {
        metrics.registerGauge(
            "config_version",
            "Version of the configuration in force; 0 before the first.",
            () => Number(configVersion() ?? 0),
        );
        metrics.registerLabelledGauge(
            "log_next_offset",
            "Offset of the next record of a log stream.",
            ["stream"],
            () => this.streams.flatMap(({ name, nextOffset }) => toSamples({ stream: name }, nextOffset())),
        );
        metrics.registerLabelledGauge(
            "log_epoch",
            "Epoch of a log stream, which rises each time the platform's log is restored from a copy.",
            ["stream"],
            () => this.streams.flatMap(({ name, epoch }) => toSamples({ stream: name }, epoch())),
        );
        metrics.registerLabelledGauge(
            "log_silence_seconds",
            "Time since a log stream was last heard from another VM that reads it, or read from the store.",
            ["stream", "source"],
            () =>
                this.streams.flatMap(({ name, heardMsAgo }) =>
                    heardSources.flatMap(source => toSamples({ stream: name, source }, toSeconds(heardMsAgo(source))))
                ),
        );
        this.reads = metrics.createCounter("log_reads_total", "Reads of a log stream from the store, by result.", ["stream", "result"]);
        this.sentReads = metrics.createCounter("log_forwards_sent_total", "Messages that forward a read of a log stream to a VM.", [
            "stream",
            "result",
        ]);
        this.receivedReads = metrics.createCounter("log_forwards_received_total", "Reads of a log stream received from other VMs.", [
            "stream",
            "result",
        ]);
        this.ignoredEntries = metrics.createCounter(
            "upstream_entries_ignored_total",
            "Entries of the upstream list that were not applied.",
            [
                "reason",
            ],
        );
        this.refusals = metrics.createCounter("refusals_total", "Calls that were refused before an upstream was chosen.", [
            "status",
            "reason",
        ]);
        this.closedConnections = metrics.createCounter("closed_connections_total", "Connections that were closed to protect this VM.", [
            "reason",
        ]);
        this.hedges = metrics.createCounter("hedges_total", "Attempts that were slow to answer and due for a hedge, by what came of it.", [
            "result",
        ]);
        this.admissionRefusals = metrics.createCounter(
            "admission_refusals_total",
            "Calls that this VM refused, for itself or for another VM, as there was too little room.",
            ["service", "reason"],
        );
        this.timerLateness = metrics.createHistogram(
            "timer_lateness_seconds",
            "How late a periodic timer fired.",
            latenessBucketsSeconds,
            [],
        );
    }

    /** Adds gauges of the learned engine speeds, without a series for each engine. */
    addEngineSpeeds(engineSpeeds: EngineSpeeds | undefined): void {
        if (engineSpeeds === undefined) {
            return;
        }
        this.metrics.registerLabelledGauge(
            "engine_speed",
            "Smallest and largest speed of an engine, relative to the median engine of its service, as this VM knows it.",
            ["bound"],
            () => {
                const { min, max } = engineSpeeds.summarize();
                return [...toSamples({ bound: "min" }, min), ...toSamples({ bound: "max" }, max)];
            },
        );
        this.metrics.registerGauge(
            "uneven_engines",
            "Engines that this VM takes to be slower or faster than the others of their service.",
            () => engineSpeeds.summarize().outside,
        );
    }

    addStream(stream: LogStream): void {
        this.streams.push(stream);
    }

    recordRead(stream: string, result: string): void {
        this.reads.inc({ stream, result });
    }

    /** Counts the messages of one forwarded read: those sent, and those to VMs without a link. */
    recordForwarded(stream: string, counts: { readonly sent: number; readonly unsent: number; }): void {
        this.sentReads.inc({ stream, result: "sent" }, counts.sent);
        this.sentReads.inc({ stream, result: "no-link" }, counts.unsent);
    }

    recordReceived(stream: string, result: string): void {
        this.receivedReads.inc({ stream, result });
    }

    recordIgnoredEntry(reason: string): void {
        this.ignoredEntries.inc({ reason });
    }

    recordRefusal({ status, reason }: { readonly status: number; readonly reason: string; }): void {
        this.refusals.inc({ status: String(status), reason });
    }

    recordClosedConnection(reason: string): void {
        this.closedConnections.inc({ reason });
    }

    recordHedge(result: HedgeResult): void {
        this.hedges.inc({ result });
    }

    recordAdmissionRefusal(service: string, reason: string): void {
        this.admissionRefusals.inc({ service, reason });
    }

    recordTimerLateness(latenessMs: number): void {
        this.timerLateness.observe(latenessMs * secondsPerMs);
    }
}

function toSeconds(durationMs: number | undefined): number | undefined {
    return durationMs === undefined ? undefined : durationMs * secondsPerMs;
}

function toSamples(labels: Readonly<Record<string, string>>, value: number | undefined) {
    return value === undefined ? [] : [{ labels, value }];
}
