import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Scheduler } from "../../src/core/util/Scheduler.js";
import type { PeerError } from "../../src/node/services/PeerError.js";
import type { PeerLinks } from "../../src/node/services/PeerLinks.js";
import type { PeerMessage } from "../../src/schema/peer/PeerMessage.js";

type Handler = (from: string, message: PeerMessage) => PeerMessage | undefined | Promise<PeerMessage | undefined>;

/** In-process peer links between simulated VMs, with a fixed delay, one-way cuts and removable VMs. */
export class FakePeerNetwork {
    /** Number of messages sent, including requests, replies and messages lost to a cut. */
    messageCount = 0;
    private readonly handlers = new Map<string, Map<string, Handler>>();
    private readonly cuts = new Set<string>();
    private readonly neverAborted = new AbortController().signal;

    constructor(private readonly scheduler: Scheduler, private readonly delayMs: number) {}

    cut(from: string, to: string): void {
        this.cuts.add(`${from}>${to}`);
    }

    heal(): void {
        this.cuts.clear();
    }

    /** Removes a VM from the network; later messages to it are discarded. */
    remove(vm: string): void {
        this.handlers.delete(vm);
    }

    linksOf(vm: string): PeerLinks {
        const handlers = new Map<string, Handler>();
        this.handlers.set(vm, handlers);
        return {
            send: (to, message) => this.transmit(vm, to, () => void this.handlers.get(to)?.get(message.type)?.(vm, message)),
            request: (to, message, timeoutMs) => this.request(vm, to, message, timeoutMs),
            onMessage: (type, handler) => {
                handlers.set(type, handler as Handler);
            },
        };
    }

    private request(from: string, to: string, message: PeerMessage, timeoutMs: number): ResultAsync<PeerMessage, PeerError> {
        const replyOrTimeout = new Promise<PeerMessage | undefined>(resolve => {
            this.scheduler.after(timeoutMs, () => {
                resolve(undefined);
            }, this.neverAborted);
            this.transmit(from, to, () => void this.answer(from, to, message, resolve));
        });
        return ResultAsync.fromSafePromise<PeerMessage | undefined, PeerError>(replyOrTimeout)
            .andThen(answer =>
                answer === undefined
                    ? errAsync({ kind: "timeout" as const, message: "request timed out without a reply" })
                    : okAsync(answer)
            );
    }

    private async answer(from: string, to: string, message: PeerMessage, resolve: (reply: PeerMessage) => void): Promise<void> {
        const reply = await this.handlers.get(to)?.get(message.type)?.(from, message);
        if (reply !== undefined) {
            this.transmit(to, from, () => {
                resolve(reply);
            });
        }
    }

    private transmit(from: string, to: string, deliver: () => void): boolean {
        this.messageCount++;
        if (!this.cuts.has(`${from}>${to}`)) {
            this.scheduler.after(this.delayMs, deliver, this.neverAborted);
        }
        return this.handlers.has(to);
    }
}
