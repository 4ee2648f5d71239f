import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { PeerError } from "../services/PeerError.js";

interface PendingRequest {
    readonly vm: string;
    readonly settle: (answer: PeerMessage | PeerError) => void;
}

interface AddedRequest {
    readonly id: number;
    readonly answer: ResultAsync<PeerMessage, PeerError>;
}

/** Requests to peers that are not answered yet. Each is settled once: by its answer, its timeout, its signal or the loss of its link. */
export class PendingRequests {
    private readonly requests = new Map<number, PendingRequest>();
    private nextId = 1;

    constructor(private readonly scheduler: Scheduler) {}

    add(vm: string, timeoutMs: number, signal: AbortSignal): AddedRequest {
        const id = this.nextId++;
        const done = new AbortController();
        const settled = new Promise<PeerMessage | PeerError>(settle => {
            this.requests.set(id, { vm, settle });
            const onTimeout = () => {
                settle({ kind: "timeout", message: `VM ${vm} did not answer within ${timeoutMs} ms; try again or another VM` });
            };
            const onAbort = () => {
                settle({ kind: "closed", message: "the request was cancelled" });
            };
            this.scheduler.after(timeoutMs, onTimeout, done.signal);
            signal.addEventListener("abort", onAbort, { once: true, signal: done.signal });
        }).finally(() => {
            done.abort();
            this.requests.delete(id);
        });
        const answer = ResultAsync.fromSafePromise<PeerMessage | PeerError, PeerError>(settled)
            .andThen(result => "type" in result ? okAsync(result) : errAsync(result));
        return { id, answer };
    }

    /** Does nothing when the request is settled already. */
    settle(id: number, answer: PeerMessage | PeerError): void {
        this.requests.get(id)?.settle(answer);
    }

    /** Settles all requests to a VM whose last link has closed. */
    fail(vm: string, reason: string): void {
        for (const request of this.requests.values()) {
            if (request.vm === vm) {
                request.settle({ kind: "closed", message: `the link to VM ${vm} closed before it answered: ${reason}` });
            }
        }
    }
}
