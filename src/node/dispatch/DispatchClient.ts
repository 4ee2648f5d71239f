import { ResultAsync } from "neverthrow";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { Ticket } from "../../schema/peer/Ticket.js";
import type { DispatchRefusal } from "../services/DispatchRefusal.js";
import type { DispatchService } from "../services/DispatchService.js";
import type { Grant } from "../services/Grant.js";
import { DispatcherHealth } from "./DispatcherHealth.js";
import type { MessageSender } from "./MessageSender.js";
import { RunningGrants } from "./RunningGrants.js";
import type { ShardRoutes } from "./ShardRoutes.js";
import type { WaitingTicket } from "./WaitingTicket.js";

/** A dispatcher that answers nothing for this long is passed over. */
const answerTimeoutMs = 150;
/** A VM that refused to dispatch is asked again after this long. */
const refusalMs = 1_000;
const tickMs = 50;
const probePeriodMs = 200;
/** Well below the time after which a dispatcher takes a grant as lost. */
const keepAlivePeriodMs = 10_000;
/** The entry VM refuses by itself when the dispatcher has not done so this long after the longest wait. */
const queueTimeoutSlackMs = 500;

/**
 * The entry VM's side of dispatch: offers each waiting ticket to the dispatcher of its shard, passes over dispatchers that do not answer,
 * and tells dispatchers about running grants. This VM itself is the last choice, so a VM that is cut off still serves what it can.
 */
export class DispatchClient implements DispatchService {
    private readonly waiting = new Map<string, WaitingTicket>();
    private readonly watch = new DispatcherHealth(answerTimeoutMs, refusalMs);
    private readonly running: RunningGrants;
    private lastProbeMs = 0;
    /** Attempts are numbered over all tickets, so that a later offer of a request always has the higher number. */
    private nextAttempt = 0;

    constructor(
        private readonly vm: string,
        private readonly scheduler: Scheduler,
        private readonly routes: ShardRoutes,
        private readonly send: MessageSender,
    ) {
        this.running = new RunningGrants(scheduler, send);
    }

    /** Starts the timers; they end with `signal`. */
    start(signal: AbortSignal): void {
        this.scheduler.every(tickMs, () => {
            this.tick();
        }, signal);
        this.scheduler.every(keepAlivePeriodMs, () => {
            this.running.keepAlive();
        }, signal);
    }

    acquire(ticket: Ticket, signal: AbortSignal): ResultAsync<Grant, DispatchRefusal> {
        const granted = new Promise<Grant>((resolve, reject) => {
            this.enqueue(ticket, resolve, reject, signal);
        });
        return ResultAsync.fromPromise(granted, refusal => refusal as DispatchRefusal);
    }

    /** Tickets of this VM that wait at a dispatcher. */
    get waitingCount(): number {
        return this.waiting.size;
    }

    /** Handles a message of a dispatcher. */
    handle(from: string, message: PeerMessage): void {
        this.watch.recordMessageReceived(from);
        switch (message.type) {
            case "ticketGrant":
                this.onGrant(from, message);
                break;
            case "ticketRefuse":
                this.onRefuse(from, message);
                break;
            case "shardState":
            case "ticketQueued":
                this.routes.recordExpectedWait(message.shard, message.expectedWaitMs);
                break;
            case "grantPreempt":
                this.running.preempt(message.grantId, message.reason);
                break;
            default:
                break;
        }
    }

    /** Moves tickets and grants to the dispatchers that the changed view of the fleet names. */
    updateMembers(members: readonly string[]): void {
        this.watch.retain(new Set(members));
        for (const waiting of [...this.waiting.values()]) {
            if (this.bestDispatcher(waiting.shard) !== waiting.dispatcher) {
                this.replace(waiting);
            }
        }
        this.running.announceGrants(shard => this.bestDispatcher(shard));
    }

    private enqueue(
        ticket: Ticket,
        resolveGrant: (grant: Grant) => void,
        refuse: (refusal: DispatchRefusal) => void,
        signal: AbortSignal,
    ): void {
        const shard = this.routes.selectShard(ticket.pool, ticket.availabilityZone);
        if (shard === undefined) {
            refuse(
                refusal("no-upstream", undefined, `Pool ${ticket.pool} has no upstream in service; add one or end the leaving of another.`),
            );
            return;
        }
        const waiting: WaitingTicket = {
            ticket,
            startedMs: this.scheduler.nowMs(),
            shard,
            dispatcher: "",
            attempt: this.nextAttempt++,
            resolveGrant,
            refuse,
        };
        this.waiting.set(ticket.requestId, waiting);
        signal.addEventListener("abort", () => {
            this.cancel(waiting);
        }, { once: true });
        this.offer(waiting);
    }

    private offer(waiting: WaitingTicket): void {
        const nowMs = this.scheduler.nowMs();
        for (;;) {
            const dispatcher = this.bestDispatcher(waiting.shard);
            waiting.dispatcher = dispatcher;
            const ticket = {
                ...waiting.ticket,
                attempt: waiting.attempt,
                waitedMs: waiting.ticket.waitedMs + nowMs - waiting.startedMs,
            };
            this.watch.recordMessageSent(dispatcher, nowMs);
            if (this.send(dispatcher, { type: "ticketOffer", shard: waiting.shard, ticket }) || dispatcher === this.vm) {
                return;
            }
            this.watch.markUnreachable(dispatcher);
        }
    }

    private replace(waiting: WaitingTicket): void {
        this.send(waiting.dispatcher, this.withdrawal(waiting));
        waiting.attempt = this.nextAttempt++;
        this.offer(waiting);
    }

    private withdrawal(waiting: WaitingTicket): PeerMessage {
        return { type: "ticketWithdraw", shard: waiting.shard, requestId: waiting.ticket.requestId, attempt: waiting.attempt };
    }

    private bestDispatcher(shard: string): string {
        const nowMs = this.scheduler.nowMs();
        return this.routes.rank(shard).find(vm => vm === this.vm || this.watch.isUsable(vm, nowMs)) ?? this.vm;
    }

    private cancel(waiting: WaitingTicket): void {
        if (!this.forget(waiting)) {
            return;
        }
        this.send(waiting.dispatcher, this.withdrawal(waiting));
        waiting.refuse(refusal("cancelled", undefined, "The caller went away before the request was sent."));
    }

    private forget(waiting: WaitingTicket): boolean {
        if (this.waiting.get(waiting.ticket.requestId) !== waiting) {
            return false;
        }
        return this.waiting.delete(waiting.ticket.requestId);
    }

    private onGrant(from: string, message: Extract<PeerMessage, { type: "ticketGrant"; }>): void {
        const waiting = this.waiting.get(message.requestId);
        const upstream = waiting && this.routes.findUpstream(waiting.ticket.pool, message.upstreamId);
        if (waiting === undefined || waiting.attempt !== message.attempt || upstream === undefined) {
            // A grant for a ticket that has moved on: hand the slot back at once.
            const end = { result: "unused" as const, outputTokens: 0 };
            this.send(from, { type: "grantEnd", shard: message.shard, grantId: message.grantId, end });
            return;
        }
        this.forget(waiting);
        this.routes.recordExpectedWait(message.shard, message.expectedWaitMs);
        waiting.resolveGrant(this.running.add(from, message, waiting.ticket, upstream));
    }

    private onRefuse(from: string, message: Extract<PeerMessage, { type: "ticketRefuse"; }>): void {
        const waiting = this.waiting.get(message.requestId);
        if (waiting === undefined || waiting.attempt !== message.attempt) {
            return;
        }
        if (message.kind === "not-dispatcher") {
            this.watch.recordRefusal(from, this.scheduler.nowMs());
            this.replace(waiting);
            return;
        }
        this.forget(waiting);
        waiting.refuse(refusal(message.kind, message.retryAfterMs, refusalText(message.kind, waiting.ticket)));
    }

    private tick(): void {
        const nowMs = this.scheduler.nowMs();
        const expired = this.watch.suspectOverdue(nowMs);
        for (const waiting of [...this.waiting.values()]) {
            const waitedMs = waiting.ticket.waitedMs + nowMs - waiting.startedMs;
            if (waitedMs > waiting.ticket.maxQueueMs + queueTimeoutSlackMs) {
                this.timeOut(waiting);
            }
            else if (expired.includes(waiting.dispatcher)) {
                this.replace(waiting);
            }
        }
        if (nowMs - this.lastProbeMs >= probePeriodMs) {
            this.lastProbeMs = nowMs;
            this.probe(nowMs);
        }
    }

    private replaceThoseAt(dispatcher: string): void {
        for (const waiting of [...this.waiting.values()]) {
            if (waiting.dispatcher === dispatcher) {
                this.replace(waiting);
            }
        }
    }

    private timeOut(waiting: WaitingTicket): void {
        this.forget(waiting);
        this.send(waiting.dispatcher, this.withdrawal(waiting));
        waiting.refuse(refusal("queue-timeout", undefined, refusalText("queue-timeout", waiting.ticket)));
    }

    /** Asks the dispatchers that hold tickets of this VM, and suspects, for a sign of life. */
    private probe(nowMs: number): void {
        const shards = new Map<string, string>();
        for (const waiting of this.waiting.values()) {
            shards.set(waiting.dispatcher, waiting.shard);
        }
        for (const vm of this.watch.suspectVms) {
            shards.set(vm, shards.get(vm) ?? "");
        }
        shards.delete(this.vm);
        for (const [vm, shard] of shards) {
            this.watch.recordMessageSent(vm, nowMs);
            if (!this.send(vm, { type: "shardProbe", shard })) {
                this.watch.markUnreachable(vm);
                this.replaceThoseAt(vm);
            }
        }
    }
}

function refusal(kind: DispatchRefusal["kind"], retryAfterMs: number | undefined, message: string): DispatchRefusal {
    return { kind, retryAfterMs, message };
}

function refusalText(kind: DispatchRefusal["kind"], ticket: Ticket): string {
    switch (kind) {
        case "shed":
            return `Class ${ticket.serviceClass} was shed under load; retry later.`;
        case "queue-timeout":
            return `No upstream of pool ${ticket.pool} came free within ${ticket.maxQueueMs} ms; retry later.`;
        case "target-unreachable":
            return `The first-token target of class ${ticket.serviceClass} cannot be met at present; retry later or use another class.`;
        default:
            return `Pool ${ticket.pool} has no upstream in service; retry later.`;
    }
}
