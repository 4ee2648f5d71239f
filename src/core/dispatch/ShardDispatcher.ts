import type { ServiceClass } from "../../schema/config/ServiceClass.js";
import type { GrantEnd } from "../../schema/peer/GrantEnd.js";
import type { Ticket } from "../../schema/peer/Ticket.js";
import { EngineSpeedModel } from "../estimate/EngineSpeedModel.js";
import { OutputLengthEstimator } from "../estimate/OutputLengthEstimator.js";
import { PrefixCacheHints } from "../estimate/PrefixCacheHints.js";
import { HealthBoard } from "../health/HealthBoard.js";
import { HedgeBudget } from "../health/HedgeBudget.js";
import type { AdoptedGrant } from "./AdoptedGrant.js";
import type { DispatchAction } from "./DispatchAction.js";
import type { DispatchOptions } from "./DispatchOptions.js";
import type { DispatchUpstream } from "./DispatchUpstream.js";
import { Engine } from "./Engine.js";
import type { EnginePrediction } from "./EnginePrediction.js";
import type { QueueState } from "./QueueState.js";
import type { RunningGrant } from "./RunningGrant.js";
import { TicketQueue } from "./TicketQueue.js";
import type { WaitingTicket } from "./WaitingTicket.js";

const maxRunnersUp = 3;
/** Longest time between ticks while anything waits or runs. */
const tickPeriodMs = 50;

/**
 * Owns the queue of one shard and the exact in-flight work of its engines. Every call takes the time and gives back the decisions that
 * follow from it, for the caller to carry out. Times are monotonic milliseconds of one clock.
 */
export class ShardDispatcher {
    private readonly queue: TicketQueue;
    private readonly engines = new Map<string, Engine>();
    private readonly grants = new Map<string, RunningGrant>();
    private readonly grantOfRequest = new Map<string, RunningGrant>();
    private readonly inFlightOfClass = new Map<string, number>();
    private classes = new Map<string, ServiceClass>();
    private readonly lengths = new OutputLengthEstimator();
    private readonly speed = new EngineSpeedModel();
    private readonly prefixes = new PrefixCacheHints();
    private readonly health = new HealthBoard();
    private readonly hedges: HedgeBudget;
    private actions: DispatchAction[] = [];
    private ticketSequence = 0;
    private grantSequence = 0;

    /** `random` gives numbers in [0, 1). */
    constructor(private readonly options: DispatchOptions, private readonly random: () => number) {
        this.queue = new TicketQueue(options.order);
        this.hedges = new HedgeBudget(options.hedgeShare);
    }

    setClasses(classes: readonly ServiceClass[]): void {
        this.classes = new Map(classes.map(serviceClass => [serviceClass.name, serviceClass]));
    }

    /** Sets the engines of the shard. Work in flight on an engine that is no longer listed is still followed to its end. */
    setUpstreams(upstreams: readonly DispatchUpstream[], nowMs: number): readonly DispatchAction[] {
        const listed = new Set(upstreams.map(upstream => upstream.id));
        for (const upstream of upstreams) {
            const engine = this.engines.get(upstream.id);
            if (engine === undefined) {
                this.engines.set(upstream.id, new Engine(upstream));
            }
            else {
                engine.upstream = upstream;
            }
        }
        for (const [id, engine] of this.engines) {
            if (!listed.has(id)) {
                engine.upstream = { ...engine.upstream, leaving: true };
            }
        }
        this.health.setEngines([...this.engines.keys()], nowMs);
        return this.decide(nowMs);
    }

    /** Queues a ticket. A repeated offer of one attempt changes nothing but repeats a grant already given; a newer attempt replaces it. */
    offer(ticket: Ticket, nowMs: number): readonly DispatchAction[] {
        const waiting = this.queue.get(ticket.requestId);
        if (waiting !== undefined) {
            if (waiting.ticket.attempt >= ticket.attempt) {
                return [];
            }
            this.queue.remove(waiting);
        }
        const running = this.grantOfRequest.get(ticket.requestId);
        if (running !== undefined) {
            if (running.ticket.attempt === ticket.attempt) {
                return [this.grantAction(running, [], nowMs, running.predictedFirstTokenMs, running.predictedFirstTokenMs)];
            }
            if (running.ticket.attempt > ticket.attempt) {
                return [];
            }
            this.release(running);
        }
        this.queue.add(this.toWaiting(ticket, nowMs));
        this.shedOverflow();
        return this.decide(nowMs);
    }

    /** The caller has gone or gave up; an unused grant of this attempt returns. */
    withdraw(requestId: string, attempt: number, nowMs: number): readonly DispatchAction[] {
        const waiting = this.queue.get(requestId);
        if (waiting !== undefined && waiting.ticket.attempt <= attempt) {
            this.queue.remove(waiting);
        }
        const running = this.grantOfRequest.get(requestId);
        if (running !== undefined && running.ticket.attempt <= attempt) {
            this.release(running);
        }
        return this.decide(nowMs);
    }

    /** An entry VM saw tokens: `firstTokenMs` is the time from its grant to the first token, `recentGapMs` what lies between tokens now. */
    progress(
        grantId: string,
        outputTokens: number,
        firstTokenMs: number,
        nowMs: number,
        recentGapMs?: number,
    ): readonly DispatchAction[] {
        const grant = this.grants.get(grantId);
        if (grant === undefined) {
            return [];
        }
        this.learnProgress(grant, outputTokens, firstTokenMs, recentGapMs, nowMs);
        return this.decide(nowMs);
    }

    /** A grant ended; its slot is free. */
    end(grantId: string, end: GrantEnd, nowMs: number): readonly DispatchAction[] {
        const grant = this.grants.get(grantId);
        if (grant === undefined) {
            return [];
        }
        this.learnEnd(grant, end, nowMs);
        this.release(grant);
        return this.decide(nowMs);
    }

    /** An entry VM is gone with all that it held. */
    dropEntryVm(vm: string, nowMs: number): readonly DispatchAction[] {
        for (const waiting of [...this.queue.all()]) {
            if (waiting.ticket.entryVm === vm) {
                this.queue.remove(waiting);
            }
        }
        for (const grant of [...this.grants.values()]) {
            if (grant.ticket.entryVm === vm) {
                this.release(grant);
            }
        }
        return this.decide(nowMs);
    }

    /** Learns of work that an earlier dispatcher granted. Waiting tickets are simply offered again. */
    adopt(running: readonly AdoptedGrant[], nowMs: number): readonly DispatchAction[] {
        for (const adopted of running) {
            const engine = this.engines.get(adopted.upstreamId);
            if (engine === undefined || this.grants.has(adopted.grantId) || this.grantOfRequest.has(adopted.ticket.requestId)) {
                continue;
            }
            const { ticket } = adopted;
            const predictedOutputTokens = this.lengths.mean(ticket, adopted.outputTokens, ticket.maxOutputTokens);
            this.hold(engine, {
                grantId: adopted.grantId,
                ticket,
                upstreamId: adopted.upstreamId,
                grantedMs: nowMs - adopted.ageMs,
                isLong: this.serviceMs(ticket) > this.options.longWorkMs,
                batchSize: engine.inFlight + 1,
                prefillTokens: ticket.promptTokens,
                uncachedTokens: adopted.firstTokenMs === undefined ? ticket.promptTokens : 0,
                predictedFirstTokenMs: this.speed.firstTokenMs(ticket.promptTokens),
                predictedOutputTokens,
                outputTokens: adopted.outputTokens,
                firstTokenMs: adopted.firstTokenMs,
                lastSeenMs: nowMs,
                isPreempted: false,
                hedgeGrantId: undefined,
            });
        }
        return this.decide(nowMs);
    }

    /** An entry VM tells that these grants are still in use, whether or not tokens flow. */
    keepAlive(grantIds: readonly string[], nowMs: number): void {
        for (const grantId of grantIds) {
            const grant = this.grants.get(grantId);
            if (grant !== undefined) {
                grant.lastSeenMs = nowMs;
            }
        }
    }

    /** Does what falls due by the passing of time alone. */
    tick(nowMs: number): readonly DispatchAction[] {
        for (const grant of [...this.grants.values()]) {
            if (nowMs - grant.lastSeenMs > this.options.staleGrantMs) {
                this.release(grant);
            }
        }
        return this.decide(nowMs);
    }

    /** When `tick` should next be called; undefined when nothing waits or runs. */
    nextWakeMs(nowMs: number): number | undefined {
        if (this.queue.size === 0 && this.grants.size === 0) {
            return undefined;
        }
        const expiresMs = this.queue.nextToExpire()?.expiresMs ?? Infinity;
        return Math.max(nowMs, Math.min(expiresMs, nowMs + tickPeriodMs));
    }

    isWaiting(requestId: string): boolean {
        return this.queue.get(requestId) !== undefined;
    }

    queueState(): QueueState {
        const waitMsByTier: number[] = [];
        for (let tier = 0; tier < Math.max(1, this.queue.tierCount); tier++) {
            waitMsByTier.push(Math.round(this.predictedWaitMs(tier)));
        }
        return { waiting: this.queue.size, freeSlots: this.freeSlots(), waitMsByTier };
    }

    /** Grants in flight by engine, for status pages. */
    inFlight(): ReadonlyMap<string, number> {
        return new Map([...this.engines].map(([id, engine]) => [id, engine.inFlight]));
    }

    private decide(nowMs: number): readonly DispatchAction[] {
        this.expire(nowMs);
        while (this.grantNext(nowMs)) {
            // Each round gives one grant.
        }
        this.dropGoneEngines();
        const actions = this.actions;
        this.actions = [];
        return actions;
    }

    private expire(nowMs: number): void {
        for (let next = this.queue.nextToExpire(); next !== undefined && next.expiresMs <= nowMs; next = this.queue.nextToExpire()) {
            this.queue.remove(next);
            this.refuse(next, "queue-timeout");
        }
    }

    private shedOverflow(): void {
        while (this.queue.size > this.options.maxWaiting) {
            const lowest = this.queue.lowest();
            if (lowest === undefined) {
                return;
            }
            this.queue.remove(lowest);
            this.refuse(lowest, "shed");
        }
    }

    /** Gives one grant: first to classes under their floor, then by tier. */
    private grantNext(nowMs: number): boolean {
        if (this.queue.size === 0) {
            return false;
        }
        for (let tier = 0; tier < this.queue.tierCount; tier++) {
            if (this.queue.waitingIn(tier) > 0 && this.isUnderFloor(tier) && this.grantFrom(tier, nowMs)) {
                return true;
            }
        }
        for (let tier = 0; tier < this.queue.tierCount; tier++) {
            if (this.queue.waitingIn(tier) > 0 && this.grantFrom(tier, nowMs)) {
                return true;
            }
        }
        return false;
    }

    private grantFrom(tier: number, nowMs: number): boolean {
        const short = this.queue.head(tier, false, nowMs);
        const long = this.queue.head(tier, true, nowMs);
        const first = short !== undefined && long !== undefined && long.latestStartMs < short.latestStartMs ? long : short ?? long;
        const second = first === short ? long : short;
        return (first !== undefined && this.tryGrant(first, nowMs)) || (second !== undefined && this.tryGrant(second, nowMs));
    }

    private tryGrant(waiting: WaitingTicket, nowMs: number): boolean {
        const predictions: EnginePrediction[] = [];
        for (const engine of this.engines.values()) {
            if (this.mayServe(engine, waiting, nowMs)) {
                predictions.push(this.predict(engine, waiting, nowMs));
            }
        }
        if (predictions.length === 0) {
            return false;
        }
        predictions.sort((left, right) => left.costMs - right.costMs);
        this.grant(waiting, predictions, nowMs);
        return true;
    }

    private mayServe(engine: Engine, waiting: WaitingTicket, nowMs: number): boolean {
        const { id, leaving } = engine.upstream;
        if (leaving || waiting.ticket.excludedUpstreams.includes(id)) {
            return false;
        }
        if (engine.freeSlots(waiting.isLong, this.options.shortSlotShare) <= 0) {
            return false;
        }
        return !this.options.health || !this.health.isBroken(id) || this.health.mayProbe(id, nowMs);
    }

    private predict(engine: Engine, waiting: WaitingTicket, nowMs: number): EnginePrediction {
        const { ticket } = waiting;
        const { id } = engine.upstream;
        const slowness = this.options.health ? this.health.slowness(id, nowMs) : 1;
        const cachedTokens = this.prefixes.cachedTokens(ticket.prefixHashes, id, nowMs);
        const uncachedTokens = Math.max(1, ticket.promptTokens - cachedTokens);
        const prefillTokens = engine.pendingPrefillTokens + uncachedTokens;
        const hopMs = ticket.availabilityZone === engine.upstream.availabilityZone ? 0 : this.options.zoneHopMs;
        const firstTokenMs = this.speed.firstTokenMs(prefillTokens) * slowness + hopMs;
        const outputTokens = this.lengths.mean(ticket, 0, ticket.maxOutputTokens);
        const finishMs = firstTokenMs + outputTokens * this.speed.gapMs(engine.inFlight + 1) * slowness;
        const costMs = finishMs + engine.inFlight * outputTokens * this.speed.gapPerRequestMs + this.random();
        return { upstreamId: id, firstTokenMs, finishMs, costMs, uncachedTokens, prefillTokens };
    }

    private grant(waiting: WaitingTicket, predictions: readonly EnginePrediction[], nowMs: number): void {
        const best = predictions[0] as EnginePrediction;
        const engine = this.engines.get(best.upstreamId) as Engine;
        const { ticket } = waiting;
        this.queue.take(waiting);
        const running: RunningGrant = {
            grantId: `${this.options.grantIdPrefix}/${this.grantSequence++}`,
            ticket,
            upstreamId: best.upstreamId,
            grantedMs: nowMs,
            isLong: waiting.isLong,
            batchSize: engine.inFlight + 1,
            prefillTokens: best.prefillTokens,
            uncachedTokens: best.uncachedTokens,
            predictedFirstTokenMs: best.firstTokenMs,
            predictedOutputTokens: this.lengths.mean(ticket, 0, ticket.maxOutputTokens),
            outputTokens: 0,
            firstTokenMs: undefined,
            lastSeenMs: nowMs,
            isPreempted: false,
            hedgeGrantId: undefined,
        };
        this.hold(engine, running);
        this.hedges.earn();
        this.prefixes.note(ticket.prefixHashes, best.upstreamId, nowMs);
        if (this.health.isBroken(best.upstreamId)) {
            this.health.noteProbe(best.upstreamId, nowMs);
        }
        const runnersUp = predictions.slice(1, 1 + maxRunnersUp).map(({ upstreamId, finishMs }) => ({
            upstreamId,
            predictedFinishMs: Math.round(finishMs),
        }));
        this.actions.push(this.grantAction(running, runnersUp, waiting.offeredMs, best.firstTokenMs, best.finishMs));
    }

    private grantAction(
        running: RunningGrant,
        runnersUp: Extract<DispatchAction, { type: "grant"; }>["runnersUp"],
        offeredMs: number,
        firstTokenMs: number,
        finishMs: number,
    ): DispatchAction {
        const { ticket } = running;
        return {
            type: "grant",
            entryVm: ticket.entryVm,
            requestId: ticket.requestId,
            attempt: ticket.attempt,
            grantId: running.grantId,
            upstreamId: running.upstreamId,
            priority: ticket.tier,
            waitedMs: ticket.waitedMs + Math.max(0, running.grantedMs - offeredMs),
            predictedFirstTokenMs: Math.round(firstTokenMs),
            predictedFinishMs: Math.round(finishMs),
            runnersUp,
        };
    }

    private refuse(waiting: WaitingTicket, kind: Extract<DispatchAction, { type: "refuse"; }>["kind"]): void {
        const { ticket } = waiting;
        this.actions.push({
            type: "refuse",
            entryVm: ticket.entryVm,
            requestId: ticket.requestId,
            attempt: ticket.attempt,
            tier: ticket.tier,
            kind,
            retryAfterMs: Math.ceil(this.predictedWaitMs(ticket.tier)),
        });
    }

    private toWaiting(ticket: Ticket, nowMs: number): WaitingTicket {
        const serviceMs = this.serviceMs(ticket);
        const firstTokenMs = this.speed.firstTokenMs(ticket.promptTokens);
        return {
            ticket,
            sequence: this.ticketSequence++,
            offeredMs: nowMs,
            latestStartMs: nowMs - ticket.waitedMs + ticket.firstTokenTargetMs - firstTokenMs,
            expiresMs: nowMs - ticket.waitedMs + ticket.maxQueueMs,
            isLong: serviceMs > this.options.longWorkMs,
            serviceMs,
            isLate: false,
            orderPosition: -1,
            expiryPosition: -1,
        };
    }

    /** Predicted time in a slot of a half-full engine. */
    private serviceMs(ticket: Ticket): number {
        const outputTokens = this.lengths.mean(ticket, 0, ticket.maxOutputTokens);
        return this.speed.firstTokenMs(ticket.promptTokens) + outputTokens * this.speed.gapMs(8);
    }

    /** Time until what waits at this tier or above has been given slots. */
    private predictedWaitMs(tier: number): number {
        let aheadMs = 0;
        for (let above = 0; above <= tier; above++) {
            aheadMs += this.queue.serviceMsIn(above);
        }
        return aheadMs / Math.max(1, this.totalSlots());
    }

    private isUnderFloor(tier: number): boolean {
        for (const serviceClass of this.classes.values()) {
            if (serviceClass.tier === tier && serviceClass.floorShare > 0) {
                const inFlight = this.inFlightOfClass.get(serviceClass.name) ?? 0;
                return inFlight < Math.ceil(serviceClass.floorShare * this.totalSlots());
            }
        }
        return false;
    }

    private learnProgress(
        grant: RunningGrant,
        outputTokens: number,
        firstTokenMs: number,
        recentGapMs: number | undefined,
        nowMs: number,
    ): void {
        const engine = this.engines.get(grant.upstreamId);
        if (grant.firstTokenMs === undefined && engine !== undefined) {
            engine.noteFirstToken(grant, firstTokenMs);
            this.health.observe(grant.upstreamId, firstTokenMs, this.speed.firstTokenMs(grant.prefillTokens), nowMs);
            if (!this.health.isSlow(grant.upstreamId, nowMs)) {
                this.speed.observeFirstToken(grant.prefillTokens, firstTokenMs);
            }
        }
        if (recentGapMs !== undefined && engine !== undefined) {
            this.health.observe(grant.upstreamId, recentGapMs, this.speed.gapMs(engine.inFlight), nowMs);
        }
        grant.outputTokens = Math.max(grant.outputTokens, outputTokens);
        grant.lastSeenMs = nowMs;
    }

    private learnEnd(grant: RunningGrant, end: GrantEnd, nowMs: number): void {
        if (end.result === "completed") {
            this.lengths.observe(grant.ticket, end.outputTokens);
            this.health.succeeded(grant.upstreamId);
        }
        if (end.result === "failed") {
            this.health.failed(grant.upstreamId);
            this.prefixes.forget(grant.ticket.prefixHashes, grant.upstreamId);
        }
        if (end.meanTokenGapMs !== undefined && end.outputTokens > 1) {
            this.health.observe(grant.upstreamId, end.meanTokenGapMs, this.speed.gapMs(grant.batchSize), nowMs);
            this.speed.observeGap(grant.batchSize, end.meanTokenGapMs);
        }
    }

    private hold(engine: Engine, grant: RunningGrant): void {
        engine.add(grant);
        this.grants.set(grant.grantId, grant);
        this.grantOfRequest.set(grant.ticket.requestId, grant);
        const { serviceClass } = grant.ticket;
        this.inFlightOfClass.set(serviceClass, (this.inFlightOfClass.get(serviceClass) ?? 0) + 1);
    }

    private release(grant: RunningGrant): void {
        if (!this.grants.delete(grant.grantId)) {
            return;
        }
        this.engines.get(grant.upstreamId)?.remove(grant);
        if (this.grantOfRequest.get(grant.ticket.requestId) === grant) {
            this.grantOfRequest.delete(grant.ticket.requestId);
        }
        const { serviceClass } = grant.ticket;
        this.inFlightOfClass.set(serviceClass, (this.inFlightOfClass.get(serviceClass) ?? 1) - 1);
    }

    /** Forgets engines that were taken off the list, once their last request has ended. */
    private dropGoneEngines(): void {
        for (const [id, engine] of this.engines) {
            if (engine.upstream.leaving && engine.inFlight === 0) {
                this.engines.delete(id);
            }
        }
    }

    private totalSlots(): number {
        let slots = 0;
        for (const engine of this.engines.values()) {
            slots += engine.upstream.leaving ? 0 : engine.upstream.maxInFlight;
        }
        return slots;
    }

    private freeSlots(): number {
        let slots = 0;
        for (const engine of this.engines.values()) {
            slots += engine.upstream.leaving ? 0 : Math.max(0, engine.upstream.maxInFlight - engine.inFlight);
        }
        return slots;
    }
}
