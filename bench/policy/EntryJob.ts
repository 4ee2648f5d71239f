import type { EntryStream } from "./EntryStream.js";
import type { Job } from "./Job.js";

/** What an entry VM keeps of a request. */
export interface EntryJob {
    readonly job: Job;
    readonly entryVm: string;
    attempt: number;
    /** Key of the dispatcher that has the ticket or the grant. */
    dispatcherKey: string;
    shardId: string;
    /** Since when the caller has been waiting for the next token. */
    waitingSinceMs: number;
    /** Open streams; two of them while hedged. */
    streams: EntryStream[];
    excluded: string[];
    isDecided: boolean;
    isWaiting: boolean;
}
