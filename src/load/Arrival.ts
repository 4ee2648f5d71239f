import type { LoadPlan } from "./LoadPlan.js";

/** One planned request of a load run; `dueMs` counts from the start of the run. */
export interface Arrival {
    readonly dueMs: number;
    readonly stream: LoadPlan["streams"][number];
    readonly promptTokens: number;
    readonly answerTokens: number;
}
