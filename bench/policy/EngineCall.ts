import type { Job } from "./Job.js";

/** One stream on the engine fake. */
export interface EngineCall {
    readonly job: Job;
    /** 0 is most urgent. */
    readonly priority: number;
    /** Tokens that an earlier stream of the job has already given. */
    readonly resumeFrom: number;
    readonly onToken: () => void;
    readonly onEnd: (result: "completed" | "broken") => void;
    /** Prompt tokens still to read; set when the engine admits the call. */
    unreadTokens: number;
    readTokens: number;
    /** Tokens read a second time, as a pause had cost the call its memory. */
    rereadTokens: number;
    /** Was admitted to the batch before, and its memory is still held. */
    isPaused: boolean;
    givenTokens: number;
}
