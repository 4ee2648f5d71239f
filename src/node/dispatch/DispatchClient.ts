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

/** A dispatcher that leaves a message unanswered for this long is skipped until it responds. */
const responseTimeoutMs = 150;
/** How long a VM that refused to dispatch is skipped. */
const refusalBackoffMs = 1_000;
const tickPeriodMs = 50;
const probePeriodMs = 200;
/** Well below `grantIdleTimeoutMs`, after which a dispatcher treats a grant as lost. */
const keepAlivePeriodMs = 10_000;
/** The entry VM itself refuses a ticket this long after `maxQueueMs`, in case the dispatcher has not done so. */
const queueTimeoutSlackMs = 500;

/**
 * The entry VM's side of dispatch: offers each waiting ticket to the dispatcher of its shard, skips dispatchers that do not respond, and
 * announces running grants to new dispatchers. It falls back to dispatching on this VM, so that a partitioned VM still serves requests.
 */
export class DispatchClient implements DispatchService {
    private readonly waitingTickets = new Map<string, WaitingTicket>();
    private readonly dispatcherHealth = new DispatcherHealth(responseTimeoutMs, refusalBackoffMs);
    private readonly runningGrants: RunningGrants;
    private lastProbeMs = 0;
    /** One counter for all tickets, so that a later offer of a request always has a higher attempt number. */
    private nextAttempt = 0;

    constructor(
        private readonly vm: string,
        private readonly scheduler: Scheduler,
        private readonly routes: ShardRoutes,
        private readonly send: MessageSender,
    ) {
        this.runningGrants = new RunningGrants(scheduler, send);
    }

    /** Starts the timers, which run until `signal` aborts. */
    start(signal: AbortSignal): void {
        this.scheduler.every(tickPeriodMs, () => {
            this.tick();
        }, signal);
        this.scheduler.every(keepAlivePeriodMs, () => {
            this.runningGrants.keepAlive();
        }, signal);
    }

    acquire(ticket: Ticket, signal: AbortSignal): ResultAsync<Grant, DispatchRefusal> {
        const granted = new Promise<Grant>((resolve, reject) => {
            this.enqueue(ticket, resolve, reject, signal);
        });
        return ResultAsync.fromPromise(granted, refusal => refusal as DispatchRefusal);
    }

    /** Number of tickets of this VM that are queued at a dispatcher. */
    get waitingCount(): number {
        return this.waitingTickets.size;
    }

    /** Handles a message from a dispatcher, which may be this VM. */
    handle(from: string, message: PeerMessage): void {
        this.dispatcherHealth.recordMessageReceived(from);
        switch (message.type) {
            case "ticketGrant":
                this.handleGrant(from, message);
                break;
            case "ticketRefuse":
                this.handleRefusal(from, message);
                break;
            case "shardState":
            case "ticketQueued":
                this.routes.recordExpectedWait(message.shard, message.expectedWaitMs);
                break;
            case "grantPreempt":
                this.runningGrants.preempt(message.grantId, message.reason);
                break;
            default:
                break;
        }
    }

    /** Re-offers the tickets whose dispatcher has changed with the membership, and announces running grants to their new dispatchers. */
    updateMembers(members: readonly string[]): void {
        this.dispatcherHealth.retain(new Set(members));
        for (const waiting of [...this.waitingTickets.values()]) {
            if (this.selectDispatcher(waiting.shard) !== waiting.dispatcher) {
                this.reoffer(waiting);
            }
        }
        this.runningGrants.announceGrants(shard => this.selectDispatcher(shard));
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
                createRefusal(
                    "no-upstream",
                    undefined,
                    `Pool ${ticket.pool} has no upstream in service; add an upstream, clear a leaving flag or reconnect an unreachable zone.`,
                ),
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
        this.waitingTickets.set(ticket.requestId, waiting);
        signal.addEventListener("abort", () => {
            this.cancel(waiting);
        }, { once: true });
        this.offer(waiting);
    }

    private offer(waiting: WaitingTicket): void {
        const nowMs = this.scheduler.nowMs();
        for (;;) {
            const dispatcher = this.selectDispatcher(waiting.shard);
            waiting.dispatcher = dispatcher;
            const ticket = {
                ...waiting.ticket,
                attempt: waiting.attempt,
                waitedMs: waiting.ticket.waitedMs + nowMs - waiting.startedMs,
            };
            this.dispatcherHealth.recordMessageSent(dispatcher, nowMs);
            if (this.send(dispatcher, { type: "ticketOffer", shard: waiting.shard, ticket }) || dispatcher === this.vm) {
                return;
            }
            this.dispatcherHealth.markUnreachable(dispatcher);
        }
    }

    private reoffer(waiting: WaitingTicket): void {
        this.send(waiting.dispatcher, this.createWithdrawal(waiting));
        waiting.attempt = this.nextAttempt++;
        this.offer(waiting);
    }

    private createWithdrawal(waiting: WaitingTicket): PeerMessage {
        return { type: "ticketWithdraw", shard: waiting.shard, requestId: waiting.ticket.requestId, attempt: waiting.attempt };
    }

    private selectDispatcher(shard: string): string {
        const nowMs = this.scheduler.nowMs();
        return this.routes.rank(shard).find(vm => vm === this.vm || this.dispatcherHealth.isUsable(vm, nowMs)) ?? this.vm;
    }

    private cancel(waiting: WaitingTicket): void {
        if (!this.removeWaiting(waiting)) {
            return;
        }
        this.send(waiting.dispatcher, this.createWithdrawal(waiting));
        waiting.refuse(createRefusal("cancelled", undefined, "The caller disconnected before the request was sent to an upstream."));
    }

    private removeWaiting(waiting: WaitingTicket): boolean {
        if (this.waitingTickets.get(waiting.ticket.requestId) !== waiting) {
            return false;
        }
        return this.waitingTickets.delete(waiting.ticket.requestId);
    }

    private handleGrant(from: string, message: Extract<PeerMessage, { type: "ticketGrant"; }>): void {
        const waiting = this.waitingTickets.get(message.requestId);
        const upstream = waiting && this.routes.findUpstream(waiting.ticket.pool, message.upstreamId);
        if (waiting === undefined || waiting.attempt !== message.attempt || upstream === undefined) {
            // The grant is stale or names an unknown upstream: release its slot at once.
            const end = { result: "unused" as const, outputTokens: 0 };
            this.send(from, { type: "grantEnd", shard: message.shard, grantId: message.grantId, end });
            return;
        }
        this.removeWaiting(waiting);
        this.routes.recordExpectedWait(message.shard, message.expectedWaitMs);
        waiting.resolveGrant(this.runningGrants.add(from, message, waiting.ticket, upstream));
    }

    private handleRefusal(from: string, message: Extract<PeerMessage, { type: "ticketRefuse"; }>): void {
        const waiting = this.waitingTickets.get(message.requestId);
        if (waiting === undefined || waiting.attempt !== message.attempt) {
            return;
        }
        if (message.kind === "not-dispatcher") {
            this.dispatcherHealth.recordRefusal(from, this.scheduler.nowMs());
            this.reoffer(waiting);
            return;
        }
        this.removeWaiting(waiting);
        waiting.refuse(createRefusal(message.kind, message.retryAfterMs, formatRefusal(message.kind, waiting.ticket)));
    }

    private tick(): void {
        const nowMs = this.scheduler.nowMs();
        const newSuspects = this.dispatcherHealth.suspectOverdue(nowMs);
        for (const waiting of [...this.waitingTickets.values()]) {
            const waitedMs = waiting.ticket.waitedMs + nowMs - waiting.startedMs;
            if (waitedMs > waiting.ticket.maxQueueMs + queueTimeoutSlackMs) {
                this.timeOut(waiting);
            }
            else if (newSuspects.includes(waiting.dispatcher)) {
                this.reoffer(waiting);
            }
        }
        if (nowMs - this.lastProbeMs >= probePeriodMs) {
            this.lastProbeMs = nowMs;
            this.probeDispatchers(nowMs);
        }
    }

    private reofferTicketsAt(dispatcher: string): void {
        for (const waiting of [...this.waitingTickets.values()]) {
            if (waiting.dispatcher === dispatcher) {
                this.reoffer(waiting);
            }
        }
    }

    private timeOut(waiting: WaitingTicket): void {
        this.removeWaiting(waiting);
        this.send(waiting.dispatcher, this.createWithdrawal(waiting));
        waiting.refuse(createRefusal("queue-timeout", undefined, formatRefusal("queue-timeout", waiting.ticket)));
    }

    /** Probes the dispatchers that queue tickets of this VM, and the suspect ones. */
    private probeDispatchers(nowMs: number): void {
        const shardByDispatcher = new Map<string, string>();
        for (const waiting of this.waitingTickets.values()) {
            shardByDispatcher.set(waiting.dispatcher, waiting.shard);
        }
        for (const vm of this.dispatcherHealth.suspectVms) {
            shardByDispatcher.set(vm, shardByDispatcher.get(vm) ?? "");
        }
        shardByDispatcher.delete(this.vm);
        for (const [vm, shard] of shardByDispatcher) {
            this.dispatcherHealth.recordMessageSent(vm, nowMs);
            if (!this.send(vm, { type: "shardProbe", shard })) {
                this.dispatcherHealth.markUnreachable(vm);
                this.reofferTicketsAt(vm);
            }
        }
    }
}

function createRefusal(kind: DispatchRefusal["kind"], retryAfterMs: number | undefined, message: string): DispatchRefusal {
    return { kind, retryAfterMs, message };
}

function formatRefusal(kind: DispatchRefusal["kind"], ticket: Ticket): string {
    switch (kind) {
        case "shed":
            return `Request of class ${ticket.serviceClass} was shed under load; retry later.`;
        case "queue-timeout":
            return `No upstream of pool ${ticket.pool} had a free slot within ${ticket.maxQueueMs} ms; retry later.`;
        case "target-unreachable":
            return `The first-token target of class ${ticket.serviceClass} cannot currently be met; retry later or use another class.`;
        default:
            return `Pool ${ticket.pool} has no upstream in service; retry later.`;
    }
}
