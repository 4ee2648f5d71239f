import type { LoadPlan } from "./LoadPlan.js";

/** One request that is due. */
export interface Arrival {
    readonly dueMs: number;
    readonly stream: LoadPlan["streams"][number];
    readonly promptTokens: number;
    readonly answerTokens: number;
}
