import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Scheduler } from "../../src/core/util/Scheduler.js";
import type { PeerError } from "../../src/node/services/PeerError.js";
import type { PeerLinks } from "../../src/node/services/PeerLinks.js";
import type { PeerMessage } from "../../src/schema/peer/PeerMessage.js";

type Handler = (from: string, message: PeerMessage) => PeerMessage | undefined | Promise<PeerMessage | undefined>;

/** Peer links between fakes of VMs in one process: a fixed delay, directions that can be cut, VMs that can be gone. */
export class FakePeerNetwork {
    /** Messages handed to the network, requests and replies included. */
    messageCount = 0;
    private readonly handlers = new Map<string, Map<string, Handler>>();
    private readonly cuts = new Set<string>();
    private readonly forever = new AbortController().signal;

    constructor(private readonly scheduler: Scheduler, private readonly delayMs: number) {}

    cut(from: string, to: string): void {
        this.cuts.add(`${from}>${to}`);
    }

    heal(): void {
        this.cuts.clear();
    }

    /** Takes a VM off the network for good. */
    remove(vm: string): void {
        this.handlers.delete(vm);
    }

    linksOf(vm: string): PeerLinks {
        const handlers = new Map<string, Handler>();
        this.handlers.set(vm, handlers);
        return {
            send: (to, message) => this.post(vm, to, () => void this.handlers.get(to)?.get(message.type)?.(vm, message)),
            request: (to, message, timeoutMs) => this.request(vm, to, message, timeoutMs),
            onMessage: (type, handler) => {
                handlers.set(type, handler as Handler);
            },
        };
    }

    private request(from: string, to: string, message: PeerMessage, timeoutMs: number): ResultAsync<PeerMessage, PeerError> {
        const answered = new Promise<PeerMessage | undefined>(resolve => {
            this.scheduler.after(timeoutMs, () => {
                resolve(undefined);
            }, this.forever);
            this.post(from, to, () => void this.answer(from, to, message, resolve));
        });
        return ResultAsync.fromSafePromise<PeerMessage | undefined, PeerError>(answered)
            .andThen(answer => answer === undefined ? errAsync({ kind: "timeout" as const, message: "no answer" }) : okAsync(answer));
    }

    private async answer(from: string, to: string, message: PeerMessage, resolve: (reply: PeerMessage) => void): Promise<void> {
        const reply = await this.handlers.get(to)?.get(message.type)?.(from, message);
        if (reply !== undefined) {
            this.post(to, from, () => {
                resolve(reply);
            });
        }
    }

    private post(from: string, to: string, deliver: () => void): boolean {
        this.messageCount++;
        if (!this.cuts.has(`${from}>${to}`)) {
            this.scheduler.after(this.delayMs, deliver, this.forever);
        }
        return this.handlers.has(to);
    }
}
