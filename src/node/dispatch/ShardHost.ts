import { defaultDispatchOptions } from "../../core/dispatch/defaultDispatchOptions.js";
import type { DispatchAction } from "../../core/dispatch/DispatchAction.js";
import type { DispatchOptions } from "../../core/dispatch/DispatchOptions.js";
import type { DispatchUpstream } from "../../core/dispatch/DispatchUpstream.js";
import { getDispatchOverrides } from "../../core/dispatch/getDispatchOverrides.js";
import { hashText } from "../../core/dispatch/hashText.js";
import type { Shard } from "../../core/dispatch/Shard.js";
import { ShardDispatcher } from "../../core/dispatch/ShardDispatcher.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { ServiceClass } from "../../schema/config/ServiceClass.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { EventRecorder } from "../services/EventRecorder.js";
import type { MessageSender } from "./MessageSender.js";
import type { ShardTable } from "./ShardTable.js";

const tickPeriodMs = 50;
/** A dispatcher that has been idle for this long is dropped, along with the estimates that it has learned. */
const idleTimeoutMs = 600_000;

type ShardMessage = Extract<PeerMessage, { shard: string; }>;

interface HostedShard {
    readonly dispatcher: ShardDispatcher;
    lastUsedMs: number;
}

/**
 * Runs the dispatchers of the shards that entry VMs ask this VM to dispatch. It accepts tickets of any VM: two simultaneous dispatchers of
 * a shard admit slightly too many requests, which is harmless. While draining, it refuses offers from other VMs, so that these
 * VMs offer their tickets to the next dispatcher.
 */
export class ShardHost {
    private readonly hostedShards = new Map<string, HostedShard>();
    private serviceClasses: readonly ServiceClass[] = [];
    private isDraining = false;

    /** `incarnation` makes grant ids unique across restarts; `random` returns numbers in [0, 1). */
    constructor(
        private readonly vm: string,
        private readonly incarnation: string,
        private readonly scheduler: Scheduler,
        private readonly random: () => number,
        private readonly shardTable: ShardTable,
        private readonly send: MessageSender,
        private readonly recorder: EventRecorder,
        private readonly options: DispatchOptions = defaultDispatchOptions,
    ) {}

    start(signal: AbortSignal): void {
        this.scheduler.every(tickPeriodMs, () => {
            this.tick();
        }, signal);
    }

    /** Refuses new tickets from other VMs from now on. */
    drain(): void {
        this.isDraining = true;
    }

    /** Applies a change of configuration or membership; tickets and grants of `departedVms` are dropped. */
    update(classes: readonly ServiceClass[], departedVms: readonly string[]): void {
        this.serviceClasses = classes;
        const nowMs = this.scheduler.nowMs();
        for (const [id, { dispatcher }] of this.hostedShards) {
            dispatcher.setClasses(classes);
            this.executeActions(id, dispatcher, dispatcher.setUpstreams(toDispatchUpstreams(this.shardTable.shard(id)), nowMs));
            for (const vm of departedVms) {
                this.executeActions(id, dispatcher, dispatcher.dropEntryVm(vm, nowMs));
            }
        }
    }

    /** Handles a message from an entry VM, which may be this one. */
    handle(from: string, message: ShardMessage): void {
        if (message.type === "shardProbe") {
            this.sendShardState(from, message.shard);
            return;
        }
        const isRefusingOffers = (this.isDraining && from !== this.vm) || this.shardTable.shard(message.shard) === undefined;
        if (message.type === "ticketOffer" && isRefusingOffers) {
            this.refuseOffer(from, message);
            return;
        }
        const dispatcher = this.getOrCreateDispatcher(message.shard);
        this.executeActions(message.shard, dispatcher, this.applyMessage(dispatcher, from, message));
        if (message.type === "ticketOffer" && dispatcher.isWaiting(message.ticket.requestId)) {
            this.sendTicketQueued(from, message, dispatcher);
        }
    }

    /** Queue length of each hosted shard and its in-flight requests per upstream, for status pages. */
    listShards(): readonly { shard: string; waiting: number; inFlight: ReadonlyMap<string, number>; }[] {
        return [...this.hostedShards].map(([shard, { dispatcher }]) => ({
            shard,
            waiting: dispatcher.queueState().waiting,
            inFlight: dispatcher.inFlight(),
        }));
    }

    private applyMessage(dispatcher: ShardDispatcher, from: string, message: ShardMessage): readonly DispatchAction[] {
        const nowMs = this.scheduler.nowMs();
        switch (message.type) {
            case "ticketOffer":
                return dispatcher.offer({ ...message.ticket, entryVm: from }, nowMs);
            case "ticketWithdraw":
                return dispatcher.withdraw(message.requestId, message.attempt, nowMs);
            case "grantProgress":
                return dispatcher.recordProgress(message.grantId, message.outputTokens, message.firstTokenMs, nowMs, message.recentGapMs);
            case "grantEnd":
                return dispatcher.endGrant(message.grantId, message.end, nowMs);
            case "grantAdopt":
                return dispatcher.adopt(message.grants.map(grant => ({ ...grant, firstTokenMs: undefined })), nowMs);
            case "grantKeepAlive":
                dispatcher.keepAlive(message.grantIds, nowMs);
                return [];
            default:
                return [];
        }
    }

    private getOrCreateDispatcher(shard: string): ShardDispatcher {
        const nowMs = this.scheduler.nowMs();
        const hosted = this.hostedShards.get(shard);
        if (hosted !== undefined) {
            hosted.lastUsedMs = nowMs;
            return hosted.dispatcher;
        }
        const grantIdPrefix = hashText(`${this.vm}/${this.incarnation}/${shard}`).toString(36);
        const dispatcher = new ShardDispatcher({ ...this.getOptions(shard), grantIdPrefix }, this.random);
        dispatcher.setClasses(this.serviceClasses);
        dispatcher.setUpstreams(toDispatchUpstreams(this.shardTable.shard(shard)), nowMs);
        this.hostedShards.set(shard, { dispatcher, lastUsedMs: nowMs });
        this.recordShardEvent("handed-over", shard);
        return dispatcher;
    }

    private getOptions(id: string): DispatchOptions {
        const shard = this.shardTable.shard(id);
        return shard === undefined ? this.options : { ...this.options, ...getDispatchOverrides(shard) };
    }

    private refuseOffer(from: string, message: Extract<PeerMessage, { type: "ticketOffer"; }>): void {
        const { requestId, attempt } = message.ticket;
        const kind = from === this.vm ? "no-upstream" : "not-dispatcher";
        this.send(from, { type: "ticketRefuse", shard: message.shard, requestId, attempt, kind });
    }

    private sendShardState(from: string, shard: string): void {
        const state = this.hostedShards.get(shard)?.dispatcher.queueState();
        this.send(from, { type: "shardState", shard, waiting: state?.waiting ?? 0, expectedWaitMs: state?.waitMsByTier.at(-1) ?? 0 });
    }

    private sendTicketQueued(from: string, message: Extract<PeerMessage, { type: "ticketOffer"; }>, dispatcher: ShardDispatcher): void {
        const { requestId, attempt, tier } = message.ticket;
        this.send(from, {
            type: "ticketQueued",
            shard: message.shard,
            requestId,
            attempt,
            expectedWaitMs: getExpectedWaitMs(dispatcher, tier),
        });
    }

    private executeActions(shard: string, dispatcher: ShardDispatcher, actions: readonly DispatchAction[]): void {
        for (const action of actions) {
            switch (action.type) {
                case "grant":
                    this.sendGrant(shard, dispatcher, action);
                    break;
                case "refuse":
                    this.sendRefusal(shard, action);
                    break;
                case "preempt":
                    this.recordRequestEvent("preempted", action.requestId, { upstream: action.upstreamId, reason: action.reason });
                    this.send(action.entryVm, { type: "grantPreempt", shard, grantId: action.grantId, reason: action.reason });
                    break;
                case "hedge":
                    // Not executed. `hedgeShare` is 0 by default, as hedging increased tail latency (docs/design/health.md).
                    break;
            }
        }
    }

    private sendGrant(shard: string, dispatcher: ShardDispatcher, action: Extract<DispatchAction, { type: "grant"; }>): void {
        const { requestId, attempt, grantId, upstreamId, priority } = action;
        this.recordRequestEvent("granted", requestId, {
            shard,
            dispatcher: this.vm,
            upstream: upstreamId,
            waitedMs: Math.round(action.waitedMs),
            predictedFirstTokenMs: action.predictedFirstTokenMs,
            predictedFinishMs: action.predictedFinishMs,
            runnersUp: action.runnersUp.map(runnerUp => `${runnerUp.upstreamId} ${runnerUp.predictedFinishMs} ms`).join(", "),
        });
        const waitMs = getExpectedWaitMs(dispatcher, action.tier);
        this.send(action.entryVm, {
            type: "ticketGrant",
            shard,
            requestId,
            attempt,
            grantId,
            upstreamId,
            priority,
            expectedWaitMs: waitMs,
        });
    }

    private sendRefusal(shard: string, action: Extract<DispatchAction, { type: "refuse"; }>): void {
        const { requestId, attempt, kind, retryAfterMs } = action;
        this.recordRequestEvent("shed", requestId, { shard, dispatcher: this.vm, kind });
        this.send(action.entryVm, { type: "ticketRefuse", shard, requestId, attempt, kind, retryAfterMs });
    }

    private tick(): void {
        const nowMs = this.scheduler.nowMs();
        for (const [shard, hosted] of this.hostedShards) {
            if (hosted.dispatcher.nextTickAtMs(nowMs) !== undefined) {
                hosted.lastUsedMs = nowMs;
                this.executeActions(shard, hosted.dispatcher, hosted.dispatcher.tick(nowMs));
            }
            else if (nowMs - hosted.lastUsedMs > idleTimeoutMs) {
                this.hostedShards.delete(shard);
            }
        }
    }

    private recordShardEvent(kind: "handed-over", shard: string): void {
        this.recorder.record({ atMs: this.scheduler.wallMs(), vm: this.vm, kind, subject: shard, facts: { dispatcher: this.vm } });
    }

    private recordRequestEvent(kind: "granted" | "preempted" | "shed", requestId: string, facts: Record<string, string | number>): void {
        this.recorder.record({ atMs: this.scheduler.wallMs(), vm: this.vm, kind, subject: requestId, facts });
    }
}

function getExpectedWaitMs(dispatcher: ShardDispatcher, tier: number): number {
    const { waitMsByTier } = dispatcher.queueState();
    return waitMsByTier[Math.min(tier, waitMsByTier.length - 1)] ?? 0;
}

function toDispatchUpstreams(shard: Shard | undefined): readonly DispatchUpstream[] {
    return (shard?.upstreams ?? []).map(({ id, availabilityZone, leaving }) => ({
        id,
        availabilityZone,
        leaving,
        maxInFlight: shard?.maxInFlight ?? 1,
    }));
}
