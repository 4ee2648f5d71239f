import { Packr } from "msgpackr";
import type { DispatchAction } from "../../src/core/dispatch/DispatchAction.js";
import type { DispatchOptions } from "../../src/core/dispatch/DispatchOptions.js";
import { partitionPool } from "../../src/core/dispatch/partitionPool.js";
import { ProgressReporter } from "../../src/core/dispatch/ProgressReporter.js";
import type { QueueState } from "../../src/core/dispatch/QueueState.js";
import type { Shard } from "../../src/core/dispatch/Shard.js";
import { ShardDispatcher } from "../../src/core/dispatch/ShardDispatcher.js";
import type { Member } from "../../src/core/membership/Member.js";
import type { Pool } from "../../src/schema/config/Pool.js";
import type { GrantEnd } from "../../src/schema/peer/GrantEnd.js";
import type { Ticket } from "../../src/schema/peer/Ticket.js";
import { engineProfile } from "./engineProfile.js";
import type { EntryJob } from "./EntryJob.js";
import type { EntryStream } from "./EntryStream.js";
import { InvariantChecker } from "./InvariantChecker.js";
import type { Job } from "./Job.js";
import type { Policy } from "./Policy.js";
import type { World } from "./World.js";

/** Bytes of WebSocket framing per small message, without TCP and IP headers. */
const frameBytes = 6;
/** Long enough that a stream which has started is not refused. */
const resumedMaxQueueMs = 600_000;

interface DispatcherTask {
    readonly key: string;
    readonly vm: string;
    readonly zone: string;
    readonly dispatcher: ShardDispatcher;
    wakeMs: number;
}

/** The policy under test: entry VMs and shard dispatchers that exchange messages with a delay. */
export class DispatchPolicy implements Policy {
    controlBytes = 0;
    private readonly checker = new InvariantChecker();
    private readonly packr = new Packr({ structures: [] });
    private readonly members: readonly Member[];
    private readonly jobs = new Map<string, EntryJob>();
    private readonly tasks = new Map<string, DispatcherTask>();
    private readonly queueStates = new Map<string, QueueState>();
    private shardsByZone = new Map<string, readonly Shard[]>();
    private taskCount = 0;

    constructor(
        private readonly world: World,
        private readonly options: DispatchOptions,
        private readonly random: () => number,
        private readonly maxShardEngines?: number,
    ) {
        const { zones, vmCount } = world.workload;
        this.members = [...Array(vmCount).keys()].map(index => ({
            vm: `vm-${index}`,
            incarnation: "1",
            availabilityZone: zones[index % zones.length] as string,
            region: "region",
            peerUrl: "",
            processorShare: 1,
            state: "ready",
            configOffset: 0,
        }));
        this.rebuildShards();
        world.onCut(() => this.rebuildShards());
    }

    get violations(): readonly string[] {
        return this.checker.violations;
    }

    arrive(job: Job): void {
        const local = this.members.filter(member => member.availabilityZone === job.zone);
        const entryVm = (local[Math.floor(this.random() * local.length)] as Member).vm;
        const entry: EntryJob = {
            job,
            entryVm,
            attempt: 0,
            dispatcherKey: "",
            shardId: "",
            waitingSinceMs: job.arrivalMs,
            streams: [],
            excluded: [],
            isDecided: false,
            isWaiting: false,
        };
        this.jobs.set(job.id, entry);
        this.offer(entry);
    }

    /** Rebuilds the shards on each side of a cut. Entry VMs whose dispatcher changed offer waiting jobs again and announce running streams to the new dispatcher. */
    private rebuildShards(): void {
        const { zones } = this.world.workload;
        this.shardsByZone = new Map(zones.map(zone => [zone, this.shardsSeenFrom(zone)]));
        const liveKeys = new Set<string>();
        for (const shards of this.shardsByZone.values()) {
            for (const shard of shards) {
                liveKeys.add(this.taskOf(shard).key);
            }
        }
        for (const key of this.tasks.keys()) {
            if (!liveKeys.has(key)) {
                this.tasks.delete(key);
            }
        }
        for (const task of this.tasks.values()) {
            const unreachable = this.members.filter(member => !this.world.isConnected(member.availabilityZone, task.zone));
            unreachable.forEach(member => this.deliverActions(task, task.dispatcher.dropEntryVm(member.vm, this.nowMs)));
        }
        for (const entry of this.jobs.values()) {
            if (entry.job.outcome === "open") {
                this.handOver(entry);
            }
        }
    }

    private handOver(entry: EntryJob): void {
        const shards = this.shardsByZone.get(entry.job.zone) as readonly Shard[];
        const shard = shards.find(candidate => candidate.id === entry.shardId) ?? (shards[0] as Shard);
        const task = this.taskOf(shard);
        if (task.key === entry.dispatcherKey) {
            return;
        }
        entry.dispatcherKey = task.key;
        const stream = entry.streams[0];
        if (stream === undefined) {
            entry.attempt++;
            this.offer(entry);
            return;
        }
        const announced = {
            grantId: stream.grantId,
            ticket: this.ticketOf(entry),
            upstreamId: stream.engine.id,
            ageMs: this.nowMs - stream.grantedMs,
            outputTokens: stream.reporter.outputTokens,
            firstTokenMs: stream.reporter.outputTokens > 0 ? stream.reporter.firstTokenMs : undefined,
        };
        this.sendToDispatcher(entry, announced, receiver => receiver.dispatcher.adopt([announced], this.nowMs));
    }

    private shardsSeenFrom(zone: string): readonly Shard[] {
        const upstreams = this.world.engines
            .filter(engine => this.world.isConnected(zone, engine.zone))
            .map(engine => ({ id: engine.id, url: "http://127.0.0.1", availabilityZone: engine.zone, leaving: false }));
        const pool: Pool = {
            name: "pool",
            path: "new",
            kind: "engine",
            services: ["model"],
            upstreams,
            repeatable: true,
            deduplicatesByKey: false,
            checksFencing: false,
            maxInFlight: engineProfile.maxBatch,
            placements: [],
        };
        const reachable = this.members.filter(member => this.world.isConnected(zone, member.availabilityZone));
        return partitionPool(pool, reachable, this.maxShardEngines);
    }

    private taskOf(shard: Shard): DispatcherTask {
        const key = `${shard.dispatcherVm}/${shard.id}`;
        let task = this.tasks.get(key);
        if (task === undefined) {
            const dispatcher = new ShardDispatcher({ ...this.options, grantIdPrefix: `g${this.taskCount++}` }, this.random);
            dispatcher.setClasses(this.world.workload.classes.map(jobClass => jobClass.serviceClass));
            const zone = this.members.find(member => member.vm === shard.dispatcherVm)?.availabilityZone as string;
            task = { key, vm: shard.dispatcherVm as string, zone, dispatcher, wakeMs: Infinity };
            this.tasks.set(key, task);
        }
        const upstreams = shard.upstreams.map(upstream => ({ ...upstream, maxInFlight: engineProfile.maxBatch }));
        this.deliverActions(task, task.dispatcher.setUpstreams(upstreams, this.nowMs));
        return task;
    }

    private offer(entry: EntryJob): void {
        const shard = this.chooseShard(entry);
        const task = this.tasks.get(`${shard.dispatcherVm}/${shard.id}`) as DispatcherTask;
        entry.shardId = shard.id;
        entry.dispatcherKey = task.key;
        entry.isWaiting = true;
        const ticket = this.ticketOf(entry);
        this.sendToDispatcher(entry, { type: "ticketOffer", shard: 1, ticket }, receiver => {
            this.checker.recordOffer(receiver.dispatcher, ticket.requestId, ticket.tier);
            const actions = receiver.dispatcher.offer({ ...ticket, waitedMs: ticket.waitedMs + engineProfile.oneWayDelayMs }, this.nowMs);
            if (receiver.dispatcher.isWaiting(ticket.requestId)) {
                const { requestId, attempt } = ticket;
                this.countMessage(receiver.vm, entry.entryVm, { type: "ticketQueued", shard: 1, requestId, attempt, expectedWaitMs: 1 });
            }
            return actions;
        });
    }

    /** Chooses the less loaded of two random shards by the queue states in their last replies. */
    private chooseShard(entry: EntryJob): Shard {
        const all = this.shardsByZone.get(entry.job.zone) as readonly Shard[];
        const sameZone = all.filter(shard => shard.availabilityZone === entry.job.zone);
        const shards = sameZone.length > 0 ? sameZone : all;
        const first = shards[Math.floor(this.random() * shards.length)] as Shard;
        const second = shards[Math.floor(this.random() * shards.length)] as Shard;
        const { tier } = entry.job.jobClass.serviceClass;
        return this.shardLoad(`${entry.entryVm}/${second.id}`, tier) < this.shardLoad(`${entry.entryVm}/${first.id}`, tier)
            ? second
            : first;
    }

    private shardLoad(key: string, tier: number): number {
        const state = this.queueStates.get(key);
        return state === undefined ? 0 : (state.waitMsByTier[tier] ?? state.waitMsByTier.at(-1) ?? 0) - state.freeSlots / 1_000;
    }

    private ticketOf(entry: EntryJob): Ticket {
        const { job } = entry;
        const { serviceClass } = job.jobClass;
        const isResumed = job.receivedTokens > 0;
        return {
            requestId: job.id,
            attempt: entry.attempt,
            entryVm: entry.entryVm,
            availabilityZone: job.zone,
            customer: job.customer,
            serviceClass: serviceClass.name,
            tier: serviceClass.tier,
            pool: "pool",
            service: "model",
            promptTokens: job.promptTokens + job.receivedTokens,
            maxOutputTokens: job.jobClass.maxOutputTokens - job.receivedTokens,
            prefixHashes: [...job.prefixHashes],
            waitedMs: this.nowMs - entry.waitingSinceMs,
            firstTokenTargetMs: serviceClass.firstTokenTargetMs,
            maxQueueMs: isResumed ? resumedMaxQueueMs : serviceClass.maxQueueMs,
            isResumed: isResumed ? true : undefined,
            excludedUpstreams: [...entry.excluded],
        };
    }

    /** Sends a message from an entry VM to its current dispatcher; the message is lost if the two cannot reach each other. */
    private sendToDispatcher(entry: EntryJob, message: object, handle: (task: DispatcherTask) => readonly DispatchAction[]): void {
        const key = entry.dispatcherKey;
        const delayMs = this.countMessage(entry.entryVm, this.tasks.get(key)?.vm, message);
        this.world.loop.after(delayMs, () => {
            const task = this.tasks.get(key);
            if (task !== undefined && this.world.isConnected(entry.job.zone, task.zone)) {
                this.deliverActions(task, handle(task));
            }
        });
    }

    private countMessage(fromVm: string, toVm: string | undefined, message: object): number {
        if (fromVm === toVm) {
            return 0;
        }
        this.controlBytes += this.packr.pack(message).length + frameBytes;
        return engineProfile.oneWayDelayMs;
    }

    /** Delivers the actions of a dispatcher to the entry VMs. */
    private deliverActions(task: DispatcherTask, actions: readonly DispatchAction[]): void {
        this.checker.checkActions(task.dispatcher, actions);
        for (const action of actions) {
            const entry = this.jobs.get(action.requestId) as EntryJob;
            const queueState = action.type === "grant" || action.type === "refuse" ? task.dispatcher.queueState() : undefined;
            const message = { ...action, entryVm: undefined, runnersUp: undefined, queueState };
            const delayMs = this.countMessage(task.vm, entry.entryVm, message);
            this.world.loop.after(delayMs, () => {
                if (this.world.isConnected(entry.job.zone, task.zone)) {
                    if (queueState !== undefined) {
                        this.queueStates.set(`${entry.entryVm}/${entry.shardId}`, queueState);
                    }
                    this.handle(entry, action);
                }
            });
        }
        this.scheduleWake(task);
    }

    private scheduleWake(task: DispatcherTask): void {
        const nextMs = task.dispatcher.nextTickAtMs(this.nowMs);
        if (nextMs === undefined || (task.wakeMs <= nextMs && task.wakeMs > this.nowMs)) {
            return;
        }
        task.wakeMs = nextMs;
        this.world.loop.after(nextMs - this.nowMs, () => {
            if (task.wakeMs === nextMs && this.tasks.get(task.key) === task) {
                task.wakeMs = Infinity;
                this.deliverActions(task, task.dispatcher.tick(this.nowMs));
            }
        });
    }

    private handle(entry: EntryJob, action: DispatchAction): void {
        switch (action.type) {
            case "grant":
                this.handleGrant(entry, action);
                break;
            case "refuse":
                this.handleRefusal(entry, action);
                break;
            case "preempt":
                this.handlePreemption(entry, action.grantId, action.reason === "slow-upstream" ? action.upstreamId : undefined);
                break;
            case "hedge":
                if (entry.streams.length === 1 && entry.job.firstTokenMs === undefined) {
                    this.openStream(entry, action);
                }
                else {
                    this.sendEnd(entry, action.grantId, { result: "unused", outputTokens: 0 });
                }
        }
    }

    private handleGrant(entry: EntryJob, grant: Extract<DispatchAction, { type: "grant"; }>): void {
        if (!entry.isWaiting || grant.attempt !== entry.attempt) {
            this.sendEnd(entry, grant.grantId, { result: "unused", outputTokens: 0 });
            return;
        }
        entry.isWaiting = false;
        this.recordDecision(entry);
        this.checker.checkOpen(entry.job, entry.streams.length);
        this.openStream(entry, grant);
    }

    private handleRefusal(entry: EntryJob, refusal: Extract<DispatchAction, { type: "refuse"; }>): void {
        if (entry.isWaiting && refusal.attempt === entry.attempt) {
            entry.isWaiting = false;
            this.recordDecision(entry);
            this.world.finish(entry.job, entry.job.receivedTokens > 0 ? "failed" : "refused");
        }
    }

    private recordDecision(entry: EntryJob): void {
        if (!entry.isDecided) {
            entry.isDecided = true;
            this.checker.checkDecision(entry.job, this.nowMs);
        }
    }

    private openStream(
        entry: EntryJob,
        grant: { readonly grantId: string; readonly upstreamId: string; readonly priority: number; },
    ): void {
        const engine = this.world.engine(grant.upstreamId);
        const reporter = new ProgressReporter(this.nowMs);
        const stream: EntryStream = {
            grantId: grant.grantId,
            engine,
            reporter,
            grantedMs: this.nowMs,
            call: this.world.open(
                entry.job,
                engine,
                grant.priority,
                () => this.onToken(entry, stream),
                result => this.onEnd(entry, stream, result),
            ),
        };
        entry.streams.push(stream);
    }

    private onToken(entry: EntryJob, stream: EntryStream): void {
        for (const other of entry.streams.filter(candidate => candidate !== stream)) {
            this.closeStream(entry, other);
        }
        this.world.receive(entry.job);
        const { reporter } = stream;
        if (reporter.recordTokens(1, this.nowMs)) {
            const { outputTokens, firstTokenMs, recentGapMs } = reporter;
            const message = { type: "grantProgress", shard: 1, grantId: stream.grantId, outputTokens, firstTokenMs, recentGapMs };
            this.sendToDispatcher(
                entry,
                message,
                task => task.dispatcher.recordProgress(stream.grantId, outputTokens, firstTokenMs, this.nowMs, recentGapMs),
            );
        }
    }

    private onEnd(entry: EntryJob, stream: EntryStream, result: "completed" | "broken"): void {
        entry.streams = entry.streams.filter(other => other !== stream);
        this.sendEnd(entry, stream.grantId, endOf(stream, result === "completed" ? "completed" : "failed"));
        if (result === "completed") {
            this.world.finish(entry.job, "done");
        }
        else if (entry.streams.length === 0) {
            this.offerAgain(entry, stream.engine.id);
        }
    }

    private handlePreemption(entry: EntryJob, grantId: string, excluded: string | undefined): void {
        const stream = entry.streams.find(candidate => candidate.grantId === grantId);
        if (stream !== undefined) {
            this.closeStream(entry, stream);
            this.offerAgain(entry, excluded);
        }
    }

    private offerAgain(entry: EntryJob, excluded: string | undefined): void {
        const { job } = entry;
        job.restarts += job.receivedTokens > 0 ? 1 : 0;
        entry.attempt++;
        entry.waitingSinceMs = job.receivedTokens > 0 ? job.lastTokenMs : job.arrivalMs;
        entry.excluded = excluded === undefined ? [] : [excluded];
        this.offer(entry);
    }

    private closeStream(entry: EntryJob, stream: EntryStream): void {
        entry.streams = entry.streams.filter(other => other !== stream);
        this.world.cancel(stream.call, stream.engine);
        this.sendEnd(entry, stream.grantId, endOf(stream, "cancelled"));
    }

    private sendEnd(entry: EntryJob, grantId: string, end: GrantEnd): void {
        this.sendToDispatcher(
            entry,
            { type: "grantEnd", shard: 1, grantId, end },
            task => task.dispatcher.endGrant(grantId, end, this.nowMs),
        );
    }

    private get nowMs(): number {
        return this.world.loop.nowMs;
    }
}

function endOf(stream: EntryStream, result: GrantEnd["result"]): GrantEnd {
    const { outputTokens, firstTokenMs, maxGapMs, meanGapMs } = stream.reporter;
    return {
        result,
        outputTokens,
        firstTokenMs: outputTokens > 0 ? firstTokenMs : undefined,
        maxTokenGapMs: maxGapMs,
        meanTokenGapMs: meanGapMs,
    };
}
