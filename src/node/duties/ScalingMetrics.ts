import type { Counter } from "prom-client";
import type { Metrics } from "../metrics/Metrics.js";

interface GroupState {
    readonly service: string;
    readonly zone: string;
    readonly kind: string;
    readonly ordered: number;
    readonly listed: number;
}

/** Metrics of the orders for upstreams. */
export class ScalingMetrics {
    private readonly orders: Counter;
    private readonly demandReadings: Counter;
    private readState: () => readonly GroupState[] = () => [];

    constructor(metrics: Metrics) {
        const labelNames = ["service", "zone", "kind"];
        for (const field of ["ordered", "listed"] as const) {
            metrics.registerLabelledGauge(
                `scaling_${field}_upstreams`,
                field === "ordered"
                    ? "Upstreams in the last accepted order of this VM; without one, those that were listed."
                    : "Listed upstreams that are not draining, of services whose upstreams are ordered.",
                labelNames,
                () =>
                    this.readState().map(({ service, zone, kind, ...state }) => ({ labels: { service, zone, kind }, value: state[field] })),
            );
        }
        this.orders = metrics.createCounter("scaling_orders_total", "Orders for upstreams, by reply.", ["service", "kind", "reply"]);
        this.demandReadings = metrics.createCounter(
            "scaling_demand_readings_total",
            "Readings of the demand by the VM that orders upstreams, by whether they include the calls of all VMs.",
            ["service", "scope"],
        );
    }

    /** Sets what the gauges are read from. */
    setSource(readState: () => readonly GroupState[]): void {
        this.readState = readState;
    }

    recordOrder(service: string, kind: string, reply: string): void {
        this.orders.inc({ service, kind, reply });
    }

    recordDemandReading(service: string, isComplete: boolean): void {
        this.demandReadings.inc({ service, scope: isComplete ? "fleet" : "part" });
    }
}
