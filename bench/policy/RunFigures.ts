/** Results of one policy on one workload and seed. */
export interface RunFigures {
    readonly workload: string;
    readonly policy: string;
    readonly seed: number;
    /** Share of requests, by class, that met every target of their class. */
    readonly attainment: Readonly<Record<string, number>>;
    /** Attainment of the requests that arrived during the peak of a swing. */
    readonly peakAttainment: Readonly<Record<string, number>>;
    readonly topTierClasses: readonly string[];
    /** Lowest attainment of the top tier over the swings in which its demand alone fits the capacity; undefined if there is no such swing. */
    readonly topTierWorstSwing: number | undefined;
    /** Time to first token of short requests of the top tier. */
    readonly shortFirstTokenP50Ms: number;
    readonly shortFirstTokenP99Ms: number;
    /** Time to first token of short requests in excess of that on an idle engine. */
    readonly shortWaitP99Ms: number;
    /** 99th percentile over short requests of the mean inter-token latency of a request. */
    readonly shortGapP99Ms: number;
    /** Output tokens per second of requests that met their targets. */
    readonly goodputTokensPerSecond: number;
    readonly wastedShare: number;
    /** Share of long requests, without refused ones, that failed or were interrupted after the first token. */
    readonly longRedoneShare: number;
    readonly refusedShare: number;
    readonly failedShare: number;
    /** Control bytes sent: per VM and second, and per request over all VMs. */
    readonly controlBytesPerVmSecond: number;
    readonly controlBytesPerRequest: number;
    readonly violations: readonly string[];
}
