import type { ServiceClass } from "../../src/schema/config/ServiceClass.js";

/** A service class of a workload with the sizes of its requests (logarithmic normal distributions). */
export interface JobClass {
    readonly serviceClass: ServiceClass;
    /** Share of requests in the usual mix. */
    readonly requestShare: number;
    readonly promptMedian: number;
    readonly promptSpread: number;
    readonly outputMedian: number;
    readonly outputSpread: number;
    readonly maxOutputTokens: number;
    /** Documents that prompts of this class start with, by a skewed choice; 0 for none. */
    readonly sharedDocuments: number;
    /** Short work of the top tier, whose waiting is measured. */
    readonly isShort: boolean;
    /** Work that is costly to repeat, such as a manual or an appraisal. */
    readonly isLong: boolean;
}
