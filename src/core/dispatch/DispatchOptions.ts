/** Settings of a shard's dispatcher. Start from `defaultDispatchOptions`. */
export interface DispatchOptions {
    /** Makes grant ids unique over dispatchers and their restarts, such as `vm/incarnation/shard`. */
    readonly grantIdPrefix: string;
    /** Order inside a tier: by slack to the class target, or by arrival. */
    readonly order: "slack" | "arrival";
    /** Most tickets waiting; beyond it the lowest tier is shed. */
    readonly maxWaitingTickets: number;
    /** Share of an engine's slots, in [0, 1), that long work cannot fill. */
    readonly reservedShortSlotShare: number;
    /** Work predicted to hold its slot longer than this is long. */
    readonly longWorkThresholdMs: number;
    /** Requests beyond its slots that an engine is given for a higher tier; it pauses as many lower-tier streams meanwhile. 0: it cannot. */
    readonly maxOversubscribedRequests: number;
    /** Share of a higher-tier stream's spare time between tokens, in [0, 1], that reading lower-tier prompts may take; Infinity for no limit. */
    readonly gapBudgetShare: number;
    /** Cancel and resume lower-tier streams when a higher tier would miss its target. */
    readonly isPreemptionEnabled: boolean;
    /** Move streams off engines that turn out slow. */
    readonly isMigrationEnabled: boolean;
    /** Share of the tokens worked on, in [0, 1), that cancelling and moving streams may make engines read again. */
    readonly recomputeShare: number;
    /** Share of grants, in [0, 1), that hedging may add. */
    readonly hedgeShare: number;
    /** Judge engines by what is seen of them. */
    readonly isOutlierDetectionEnabled: boolean;
    /** Extra time to an engine in another availability zone. */
    readonly crossZoneLatencyMs: number;
    /** A stream of this length to another zone is taken to cost twice its time, as a cut would break it; longer ones more. Infinity for no risk. */
    readonly crossZoneRiskScaleMs: number;
    /** A grant that shows no sign of life for this long is taken as lost. */
    readonly grantIdleTimeoutMs: number;
}
