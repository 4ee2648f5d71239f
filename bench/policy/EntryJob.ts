import type { EntryStream } from "./EntryStream.js";
import type { Job } from "./Job.js";

/** State of a request on its entry VM. */
export interface EntryJob {
    readonly job: Job;
    readonly entryVm: string;
    attempt: number;
    /** Key of the dispatcher that holds the ticket or the grant. */
    dispatcherKey: string;
    shardId: string;
    /** Time since which the caller has been waiting for the next token. */
    waitingSinceMs: number;
    /** Open streams; two while the request is hedged. */
    streams: EntryStream[];
    excluded: string[];
    isDecided: boolean;
    isWaiting: boolean;
}
