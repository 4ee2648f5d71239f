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

const tickMs = 50;
/** A dispatcher without work is dropped after this long, with what it has learnt. */
const idleMs = 600_000;

type ShardMessage = Extract<PeerMessage, { shard: string; }>;

interface HostedShard {
    readonly dispatcher: ShardDispatcher;
    lastUsedMs: number;
}

/**
 * Runs the dispatchers of the shards that this VM is asked to dispatch. It serves whoever asks: two dispatchers of one shard at once admit
 * a little too much, and nothing breaks. While it drains, it refuses all but its own VM, so that the others move on.
 */
export class ShardHost {
    private readonly hosted = new Map<string, HostedShard>();
    private classes: readonly ServiceClass[] = [];
    private isDraining = false;

    /** `incarnation` makes grant ids unique over restarts; `random` gives numbers in [0, 1). */
    constructor(
        private readonly vm: string,
        private readonly incarnation: string,
        private readonly scheduler: Scheduler,
        private readonly random: () => number,
        private readonly table: ShardTable,
        private readonly send: MessageSender,
        private readonly recorder: EventRecorder,
        private readonly options: DispatchOptions = defaultDispatchOptions,
    ) {}

    start(signal: AbortSignal): void {
        this.scheduler.every(tickMs, () => {
            this.tick();
        }, signal);
    }

    /** Refuses new work of other VMs from now on. */
    drain(): void {
        this.isDraining = true;
    }

    /** Takes over a changed configuration or membership. */
    update(classes: readonly ServiceClass[], gone: readonly string[]): void {
        this.classes = classes;
        const nowMs = this.scheduler.nowMs();
        for (const [id, { dispatcher }] of this.hosted) {
            dispatcher.setClasses(classes);
            this.carryOut(id, dispatcher, dispatcher.setUpstreams(toDispatchUpstreams(this.table.shard(id)), nowMs));
            for (const vm of gone) {
                this.carryOut(id, dispatcher, dispatcher.dropEntryVm(vm, nowMs));
            }
        }
    }

    /** Handles a message of an entry VM, which may be this one. */
    handle(from: string, message: ShardMessage): void {
        if (message.type === "shardProbe") {
            this.answerProbe(from, message.shard);
            return;
        }
        const refusesNew = (this.isDraining && from !== this.vm) || this.table.shard(message.shard) === undefined;
        if (message.type === "ticketOffer" && refusesNew) {
            this.refuseOffer(from, message);
            return;
        }
        const dispatcher = this.dispatcherOf(message.shard);
        this.carryOut(message.shard, dispatcher, this.apply(dispatcher, from, message));
        if (message.type === "ticketOffer" && dispatcher.isWaiting(message.ticket.requestId)) {
            this.tellQueued(from, message, dispatcher);
        }
    }

    /** In-flight work and queue lengths by shard, for status pages. */
    describe(): readonly { shard: string; waiting: number; inFlight: ReadonlyMap<string, number>; }[] {
        return [...this.hosted].map(([shard, { dispatcher }]) => ({
            shard,
            waiting: dispatcher.queueState().waiting,
            inFlight: dispatcher.inFlight(),
        }));
    }

    private apply(dispatcher: ShardDispatcher, from: string, message: ShardMessage): readonly DispatchAction[] {
        const nowMs = this.scheduler.nowMs();
        switch (message.type) {
            case "ticketOffer":
                return dispatcher.offer({ ...message.ticket, entryVm: from }, nowMs);
            case "ticketWithdraw":
                return dispatcher.withdraw(message.requestId, message.attempt, nowMs);
            case "grantProgress":
                return dispatcher.recordProgress(message.grantId, message.outputTokens, message.firstTokenMs, nowMs, message.recentGapMs);
            case "grantEnd":
                return dispatcher.end(message.grantId, message.end, nowMs);
            case "grantAdopt":
                return dispatcher.adopt(message.grants.map(grant => ({ ...grant, firstTokenMs: undefined })), nowMs);
            case "grantKeepAlive":
                dispatcher.keepAlive(message.grantIds, nowMs);
                return [];
            default:
                return [];
        }
    }

    private dispatcherOf(shard: string): ShardDispatcher {
        const nowMs = this.scheduler.nowMs();
        const known = this.hosted.get(shard);
        if (known !== undefined) {
            known.lastUsedMs = nowMs;
            return known.dispatcher;
        }
        const grantIdPrefix = hashText(`${this.vm}/${this.incarnation}/${shard}`).toString(36);
        const dispatcher = new ShardDispatcher({ ...this.optionsOf(shard), grantIdPrefix }, this.random);
        dispatcher.setClasses(this.classes);
        dispatcher.setUpstreams(toDispatchUpstreams(this.table.shard(shard)), nowMs);
        this.hosted.set(shard, { dispatcher, lastUsedMs: nowMs });
        this.recordShard("handed-over", shard);
        return dispatcher;
    }

    private optionsOf(id: string): DispatchOptions {
        const shard = this.table.shard(id);
        return shard === undefined ? this.options : { ...this.options, ...getDispatchOverrides(shard) };
    }

    private refuseOffer(from: string, message: Extract<PeerMessage, { type: "ticketOffer"; }>): void {
        const { requestId, attempt } = message.ticket;
        const kind = from === this.vm ? "no-upstream" : "not-dispatcher";
        this.send(from, { type: "ticketRefuse", shard: message.shard, requestId, attempt, kind });
    }

    private answerProbe(from: string, shard: string): void {
        const state = this.hosted.get(shard)?.dispatcher.queueState();
        this.send(from, { type: "shardState", shard, waiting: state?.waiting ?? 0, expectedWaitMs: state?.waitMsByTier.at(-1) ?? 0 });
    }

    private tellQueued(from: string, message: Extract<PeerMessage, { type: "ticketOffer"; }>, dispatcher: ShardDispatcher): void {
        const { requestId, attempt, tier } = message.ticket;
        this.send(from, {
            type: "ticketQueued",
            shard: message.shard,
            requestId,
            attempt,
            expectedWaitMs: expectedWaitMs(dispatcher, tier),
        });
    }

    private carryOut(shard: string, dispatcher: ShardDispatcher, actions: readonly DispatchAction[]): void {
        for (const action of actions) {
            switch (action.type) {
                case "grant":
                    this.sendGrant(shard, dispatcher, action);
                    break;
                case "refuse":
                    this.sendRefusal(shard, action);
                    break;
                case "preempt":
                    this.recordRequest("preempted", action.requestId, { upstream: action.upstreamId, reason: action.reason });
                    this.send(action.entryVm, { type: "grantPreempt", shard, grantId: action.grantId, reason: action.reason });
                    break;
                case "hedge":
                    // Never asked for while `hedgeShare` is 0: a second stream made the tail worse (docs/design/health.md).
                    break;
            }
        }
    }

    private sendGrant(shard: string, dispatcher: ShardDispatcher, action: Extract<DispatchAction, { type: "grant"; }>): void {
        const { requestId, attempt, grantId, upstreamId, priority } = action;
        this.recordRequest("granted", requestId, {
            shard,
            dispatcher: this.vm,
            upstream: upstreamId,
            waitedMs: Math.round(action.waitedMs),
            predictedFirstTokenMs: action.predictedFirstTokenMs,
            predictedFinishMs: action.predictedFinishMs,
            runnersUp: action.runnersUp.map(runner => `${runner.upstreamId} ${runner.predictedFinishMs} ms`).join(", "),
        });
        const waitMs = expectedWaitMs(dispatcher, action.tier);
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
        this.recordRequest("shed", requestId, { shard, dispatcher: this.vm, kind });
        this.send(action.entryVm, { type: "ticketRefuse", shard, requestId, attempt, kind, retryAfterMs });
    }

    private tick(): void {
        const nowMs = this.scheduler.nowMs();
        for (const [shard, hosted] of this.hosted) {
            if (hosted.dispatcher.nextTickAtMs(nowMs) !== undefined) {
                hosted.lastUsedMs = nowMs;
                this.carryOut(shard, hosted.dispatcher, hosted.dispatcher.tick(nowMs));
            }
            else if (nowMs - hosted.lastUsedMs > idleMs) {
                this.hosted.delete(shard);
            }
        }
    }

    private recordShard(kind: "handed-over", shard: string): void {
        this.recorder.record({ atMs: this.scheduler.wallMs(), vm: this.vm, kind, subject: shard, facts: { dispatcher: this.vm } });
    }

    private recordRequest(kind: "granted" | "preempted" | "shed", requestId: string, facts: Record<string, string | number>): void {
        this.recorder.record({ atMs: this.scheduler.wallMs(), vm: this.vm, kind, subject: requestId, facts });
    }
}

function expectedWaitMs(dispatcher: ShardDispatcher, tier: number): number {
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
