import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { PeerError } from "../services/PeerError.js";

interface PendingRequest {
    readonly vm: string;
    readonly settle: (result: PeerMessage | PeerError) => void;
}

interface AddedRequest {
    readonly id: number;
    readonly answer: ResultAsync<PeerMessage, PeerError>;
}

/** Requests to peers that have no reply yet. Each is settled once: by its reply, its timeout, its signal or the loss of its link. */
export class PendingRequests {
    private readonly requests = new Map<number, PendingRequest>();
    private nextId = 1;

    constructor(private readonly scheduler: Scheduler) {}

    add(vm: string, timeoutMs: number, signal: AbortSignal): AddedRequest {
        const id = this.nextId++;
        const settledController = new AbortController();
        const settlement = new Promise<PeerMessage | PeerError>(settle => {
            this.requests.set(id, { vm, settle });
            const onTimeout = () => {
                settle({ kind: "timeout", message: `VM ${vm} did not reply within ${timeoutMs} ms; retry or use another VM` });
            };
            const onAbort = () => {
                settle({ kind: "closed", message: "the request was cancelled" });
            };
            this.scheduler.after(timeoutMs, onTimeout, settledController.signal);
            signal.addEventListener("abort", onAbort, { once: true, signal: settledController.signal });
        }).finally(() => {
            settledController.abort();
            this.requests.delete(id);
        });
        const answer = ResultAsync.fromSafePromise<PeerMessage | PeerError, PeerError>(settlement)
            .andThen(result => "type" in result ? okAsync(result) : errAsync(result));
        return { id, answer };
    }

    /** Settles a request; does nothing if it is already settled. */
    settle(id: number, result: PeerMessage | PeerError): void {
        this.requests.get(id)?.settle(result);
    }

    /** Settles all requests to a VM whose last connection has closed. */
    failAll(vm: string, reason: string): void {
        for (const request of this.requests.values()) {
            if (request.vm === vm) {
                request.settle({ kind: "closed", message: `link to VM ${vm} closed before the reply arrived: ${reason}` });
            }
        }
    }
}
