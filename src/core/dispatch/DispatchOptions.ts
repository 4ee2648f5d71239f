/** Settings of a shard's dispatcher. Defaults are in `defaultDispatchOptions`. */
export interface DispatchOptions {
    /** Makes grant ids unique across dispatchers and restarts, for example `vm/incarnation/shard`. */
    readonly grantIdPrefix: string;
    /** Order of tickets within a tier: by slack to the first-token target, or by arrival. */
    readonly order: "slack" | "arrival";
    /** Maximum number of waiting tickets; beyond it tickets of the lowest tier are shed. */
    readonly maxWaitingTickets: number;
    /** Share of an engine's slots, in [0, 1), reserved for short requests. */
    readonly reservedShortSlotShare: number;
    /** A request predicted to occupy its slot for longer than this is long. */
    readonly longRequestThresholdMs: number;
    /**
     * Requests beyond its slots that an engine accepts from a higher tier, pausing as many lower-tier streams; 0 for engines that cannot
     * pause.
     */
    readonly maxOversubscribedRequests: number;
    /**
     * Share, in [0, 1], of a stream's spare time under its token gap target that the prefill of less urgent prompts may use; Infinity for
     * no limit.
     */
    readonly gapBudgetShare: number;
    /** Cancel lower-tier streams, to be resumed later, when a higher tier would miss its first-token target. */
    readonly isPreemptionEnabled: boolean;
    /** Migrate streams off slow engines. */
    readonly isMigrationEnabled: boolean;
    /** Share of all processed tokens, in [0, 1), that may be recomputed because of preemption and migration. */
    readonly recomputeShare: number;
    /** Maximum number of hedges as a share of grants, in [0, 1); 0 disables hedging. */
    readonly hedgeShare: number;
    /** Avoid engines that outlier detection finds slow or failing. */
    readonly isOutlierDetectionEnabled: boolean;
    /** Extra latency of an engine in another availability zone. */
    readonly crossZoneLatencyMs: number;
    /**
     * Duration of a cross-zone stream at which the cost of the risk that a network partition breaks it equals the duration itself. The cost
     * grows with the square of the duration; Infinity disables it.
     */
    readonly crossZoneRiskScaleMs: number;
    /** A grant without progress or keep-alive for this long is treated as lost and released. */
    readonly grantIdleTimeoutMs: number;
}
