import type { ServiceClass } from "../../src/schema/config/ServiceClass.js";

/** Service class of a workload with the log-normal size distributions of its requests. */
export interface JobClass {
    readonly serviceClass: ServiceClass;
    /** Share of requests in the base mix. */
    readonly requestShare: number;
    readonly promptMedian: number;
    readonly promptSpread: number;
    readonly outputMedian: number;
    readonly outputSpread: number;
    readonly maxOutputTokens: number;
    /** Number of shared documents that prompts of this class start with, chosen with a skewed distribution; 0 for none. */
    readonly sharedDocuments: number;
    /** Whether these are short requests of the top tier, whose waiting time is measured. */
    readonly isShort: boolean;
    /** Whether requests are costly to repeat, such as a manual or an appraisal. */
    readonly isLong: boolean;
}
