/** What `simulateFleet` measures. */
export interface FleetModelResult {
    /** Times of the crashes that deadly parts caused. */
    readonly deadlyCrashesMs: readonly number[];
    /** Calls with a deadly part that were sent to engines later than the stable window after the fifth crash. */
    readonly lateDeadlyCalls: number;
    /** Responses to calls with a part that is deadly for a time, before and after that time. */
    readonly answeredDeadlyCalls: number;
    readonly soundCalls: number;
    /** Sound calls of callers that were refused, repeated calls included. */
    readonly soundRefusals: number;
    /** Longest time between the first and the last refusal because of one sound part, with no response to a call with it in between. */
    readonly longestRefusalMs: number;
    /** Smallest share, over first parts, of sound calls that begin at the first attempt, from twice the stable window after the fifth or last crash. */
    readonly worstFirstAttemptShare: number;
    /** Messages between VMs. */
    readonly messages: number;
    readonly crashes: number;
}
