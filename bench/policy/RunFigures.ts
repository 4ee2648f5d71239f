/** What one policy did with one workload and seed. */
export interface RunFigures {
    readonly workload: string;
    readonly policy: string;
    readonly seed: number;
    /** Share of requests, by class, that met every target of their class. */
    readonly attainment: Readonly<Record<string, number>>;
    /** The same, of those that arrived at the peak of a swing. */
    readonly peakAttainment: Readonly<Record<string, number>>;
    readonly topTierClasses: readonly string[];
    /** Attainment of the top tier in the worst swing in which its demand alone fits; undefined without one. */
    readonly topTierWorstSwing: number | undefined;
    /** First-token time of short work of the top tier. */
    readonly shortFirstTokenP50Ms: number;
    readonly shortFirstTokenP99Ms: number;
    /** First-token time of short work beyond what an idle engine takes. */
    readonly shortWaitP99Ms: number;
    /** Mean time between tokens of one request, over short work. */
    readonly shortGapP99Ms: number;
    /** Output tokens a second of requests that met their targets. */
    readonly goodputTokensPerSecond: number;
    readonly wastedShare: number;
    /** Share of long work that was cut off or done again. */
    readonly longRedoneShare: number;
    readonly refusedShare: number;
    readonly failedShare: number;
    /** Bytes that a VM sent a second, and bytes a request over all VMs. */
    readonly controlBytesPerVmSecond: number;
    readonly controlBytesPerRequest: number;
    readonly violations: readonly string[];
}
