import type { UsageRun } from "./UsageRun.js";

/** Runs older than this are dropped: their window has been closed. */
const maxAgeMs = 20_000;
/** Largest number of runs that are kept; far above what one VM begins in `maxAgeMs`. */
const maxRuns = 20_000;
/** Largest number of runs in one report, so that a backlog does not delay other messages on the link. */
const maxRunsPerReport = 4_000;

interface UsageBatch {
    /** Sequence number of the first run. */
    readonly firstSequence: number;
    readonly runs: readonly UsageRun[];
}

/** Records which calls began to run on this VM, numbered from 1, until the collectors have them or they are too old to count. */
export class UsageRecorder {
    private runs: UsageRun[] = [];
    private firstSequence = 1;

    record(customer: string, begunMs: number): void {
        this.runs.push({ customer, begunMs });
        if (this.runs.length > maxRuns) {
            this.drop(maxRuns / 2);
        }
    }

    /** Returns the runs that follow `sequence`. */
    getBatchAfter(sequence: number, nowMs: number): UsageBatch {
        const oldCount = this.runs.findIndex(run => run.begunMs >= nowMs - maxAgeMs);
        this.drop(oldCount === -1 ? this.runs.length : oldCount);
        const start = Math.max(0, sequence + 1 - this.firstSequence);
        return { firstSequence: this.firstSequence + start, runs: this.runs.slice(start, start + maxRunsPerReport) };
    }

    private drop(count: number): void {
        this.runs.splice(0, count);
        this.firstSequence += count;
    }
}
