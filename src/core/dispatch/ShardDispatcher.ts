import type { ServiceClass } from "../../schema/config/ServiceClass.js";
import type { GrantEnd } from "../../schema/peer/GrantEnd.js";
import type { Ticket } from "../../schema/peer/Ticket.js";
import { EngineSpeedModel } from "../estimate/EngineSpeedModel.js";
import { OutputLengthEstimator } from "../estimate/OutputLengthEstimator.js";
import { PrefixCacheHints } from "../estimate/PrefixCacheHints.js";
import { HedgeBudget } from "../health/HedgeBudget.js";
import { OutlierDetector } from "../health/OutlierDetector.js";
import type { ActiveGrant } from "./ActiveGrant.js";
import type { AdoptedGrant } from "./AdoptedGrant.js";
import { assumedBatchSize } from "./assumedBatchSize.js";
import type { DispatchAction } from "./DispatchAction.js";
import type { DispatchOptions } from "./DispatchOptions.js";
import type { DispatchUpstream } from "./DispatchUpstream.js";
import { Engine } from "./Engine.js";
import type { EnginePrediction } from "./EnginePrediction.js";
import { EngineRanker } from "./EngineRanker.js";
import { EstimateUpdater } from "./EstimateUpdater.js";
import { GrantTable } from "./GrantTable.js";
import { MigrationPolicy } from "./MigrationPolicy.js";
import { PreemptionVictimSelector } from "./PreemptionVictimSelector.js";
import type { QueuedTicket } from "./QueuedTicket.js";
import type { QueueState } from "./QueueState.js";
import { RecomputeBudget } from "./RecomputeBudget.js";
import { ServiceClassTable } from "./ServiceClassTable.js";
import type { TicketLane } from "./TicketLane.js";
import { TicketQueue } from "./TicketQueue.js";

const maxRunnersUp = 3;
/** Longest time between ticks while anything waits or runs. */
const tickPeriodMs = 25;
/** A first token that is this many times later than predicted, and `overdueSlackMs`, tells of a slow engine. */
const overdueRatio = 2;
const overdueSlackMs = 60;
/** A first token that is this many times later than predicted, and `hedgeSlackMs`, is worth a second stream. */
const hedgeRatio = 1.5;
const hedgeSlackMs = 40;
const maxHedgedPromptTokens = 2_048;
/** Higher tiers wait this much longer for a slot to come free before a stream is cancelled for them. */
const preemptionSlackMs = 100;
const noEngines: readonly Engine[] = [];
const maxPreemptionsPerDecision = 4;
/** Prompts longer than this are read after the shorter ones of their tier. */
const longPromptTokens = 2_048;

/**
 * Owns the queue of one shard and the exact in-flight work of its engines. Every call takes the time and gives back the decisions that
 * follow from it, for the caller to carry out. Times are monotonic milliseconds of one clock.
 */
export class ShardDispatcher {
    private readonly queue: TicketQueue;
    private readonly engines = new Map<string, Engine>();
    /** The same engines, for loops on the hot path. */
    private engineList: Engine[] = [];
    private readonly grants = new GrantTable();
    private readonly classes = new ServiceClassTable();
    private readonly lengths = new OutputLengthEstimator();
    private readonly speed = new EngineSpeedModel();
    private readonly prefixes = new PrefixCacheHints();
    private readonly health = new OutlierDetector();
    private readonly learner = new EstimateUpdater(this.lengths, this.speed, this.prefixes, this.health);
    private readonly ranker: EngineRanker;
    private readonly moves: MigrationPolicy;
    private readonly victims = new PreemptionVictimSelector(this.grants, this.classes);
    private readonly waste: RecomputeBudget;
    private readonly hedges: HedgeBudget;
    private actions: DispatchAction[] = [];
    /** Filled anew by `lanesByTurn`. */
    private readonly lanesInTurn: TicketLane[] = [];
    private changedEngines: readonly Engine[] = [];
    private ticketSequence = 0;
    private grantSequence = 0;
    private pendingPreemptions = 0;
    private totalSlots = 0;

    /** `random` gives numbers in [0, 1). */
    constructor(private readonly options: DispatchOptions, random: () => number) {
        this.queue = new TicketQueue(options.order);
        this.ranker = new EngineRanker(options, this.speed, this.health, this.prefixes, random);
        this.moves = new MigrationPolicy(options, this.speed, this.health);
        this.waste = new RecomputeBudget(options.recomputeShare);
        this.hedges = new HedgeBudget(options.hedgeShare);
    }

    setClasses(classes: readonly ServiceClass[]): void {
        this.classes.set(classes);
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
        this.noteEngines(nowMs);
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
        const running = this.grants.findByRequest(ticket.requestId);
        if (running !== undefined) {
            if (running.ticket.attempt === ticket.attempt) {
                return [toGrantAction(running, running.grantedAtMs, running.predictedFirstTokenMs, [])];
            }
            if (running.ticket.attempt > ticket.attempt) {
                return [];
            }
            this.release(running, nowMs);
        }
        this.queue.add(this.toWaiting(ticket, nowMs));
        this.shedOverflow();
        return this.decide(nowMs, this.enginesOf(running));
    }

    /** The caller has gone or gave up; an unused grant of this attempt returns. */
    withdraw(requestId: string, attempt: number, nowMs: number): readonly DispatchAction[] {
        const waiting = this.queue.get(requestId);
        if (waiting !== undefined && waiting.ticket.attempt <= attempt) {
            this.queue.remove(waiting);
        }
        const running = this.grants.findByRequest(requestId);
        if (running !== undefined && running.ticket.attempt <= attempt) {
            this.release(running, nowMs);
        }
        return this.decide(nowMs, this.enginesOf(running));
    }

    /** An entry VM saw tokens: `firstTokenMs` is the time from its grant to the first token, `recentGapMs` what lies between tokens now. */
    recordProgress(
        grantId: string,
        outputTokens: number,
        firstTokenMs: number,
        nowMs: number,
        recentGapMs?: number,
    ): readonly DispatchAction[] {
        const grant = this.grants.get(grantId);
        const engine = grant && this.engines.get(grant.upstreamId);
        if (grant === undefined || engine === undefined) {
            return [];
        }
        const isFirst = grant.firstTokenMs === undefined;
        if (isFirst && this.learner.observeFirstToken(engine, grant, firstTokenMs, nowMs)) {
            this.moveOffSlow(engine, nowMs);
        }
        if (recentGapMs !== undefined && this.learner.observeTokenGap(engine, grant, recentGapMs, nowMs)) {
            this.moveOffSlow(engine, nowMs);
        }
        grant.outputTokens = Math.max(grant.outputTokens, outputTokens);
        grant.predictedOutputTokens = this.lengths.mean(grant.ticket, grant.outputTokens, grant.ticket.maxOutputTokens);
        grant.lastSeenAtMs = nowMs;
        return isFirst ? this.decide(nowMs, this.enginesOf(grant)) : this.takeActions();
    }

    /** A grant ended; its slot is free. */
    end(grantId: string, end: GrantEnd, nowMs: number): readonly DispatchAction[] {
        const grant = this.grants.get(grantId);
        if (grant === undefined) {
            return [];
        }
        this.waste.earn(grant.uncachedTokens + end.outputTokens);
        this.learner.observeGrantEnd(this.engines.get(grant.upstreamId), grant, end, nowMs);
        this.release(grant, nowMs);
        return this.decide(nowMs, this.enginesOf(grant));
    }

    /** An entry VM is gone with all that it held. */
    dropEntryVm(vm: string, nowMs: number): readonly DispatchAction[] {
        for (const waiting of [...this.queue.all()]) {
            if (waiting.ticket.entryVm === vm) {
                this.queue.remove(waiting);
            }
        }
        for (const grant of this.grants.all()) {
            if (grant.ticket.entryVm === vm) {
                this.release(grant, nowMs);
            }
        }
        return this.decide(nowMs);
    }

    /** Learns of work that an earlier dispatcher granted. Waiting tickets are simply offered again. */
    adopt(running: readonly AdoptedGrant[], nowMs: number): readonly DispatchAction[] {
        for (const adopted of running) {
            const engine = this.engines.get(adopted.upstreamId);
            const isKnown = this.grants.get(adopted.grantId) !== undefined ||
                this.grants.findByRequest(adopted.ticket.requestId) !== undefined;
            if (engine !== undefined && !isKnown) {
                this.hold(engine, this.toAdopted(engine, adopted, nowMs), false, nowMs);
            }
        }
        return this.decide(nowMs);
    }

    /** An entry VM tells that these grants are still in use, whether or not tokens flow. */
    keepAlive(grantIds: readonly string[], nowMs: number): void {
        for (const grantId of grantIds) {
            const grant = this.grants.get(grantId);
            if (grant !== undefined) {
                grant.lastSeenAtMs = nowMs;
            }
        }
    }

    /** Does what falls due by the passing of time alone. */
    tick(nowMs: number): readonly DispatchAction[] {
        for (const grant of this.grants.all()) {
            if (nowMs - grant.lastSeenAtMs > this.options.grantIdleTimeoutMs) {
                this.release(grant, nowMs);
            }
            else if (grant.firstTokenMs === undefined) {
                this.checkOverdue(grant, nowMs);
            }
        }
        return this.decide(nowMs);
    }

    /** When `tick` should next be called; undefined when nothing waits or runs. */
    nextTickAtMs(nowMs: number): number | undefined {
        if (this.queue.size === 0 && this.grants.size === 0) {
            return undefined;
        }
        const expiresMs = this.queue.nextToExpire()?.expiresAtMs ?? Infinity;
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

    /** Decides on what waits. `changed` are the engines that may have room they had not at the last decision; the others are not looked at again. */
    private decide(nowMs: number, changed: readonly Engine[] = this.engineList): readonly DispatchAction[] {
        this.changedEngines = changed;
        this.expire(nowMs);
        while (this.queue.size > 0 && this.grantNext(nowMs)) {
            // Each round gives one grant.
        }
        this.preempt(nowMs);
        this.dropGoneEngines(nowMs);
        return this.takeActions();
    }

    private takeActions(): readonly DispatchAction[] {
        const actions = this.actions;
        this.actions = [];
        return actions;
    }

    private expire(nowMs: number): void {
        for (let next = this.queue.nextToExpire(); next !== undefined && next.expiresAtMs <= nowMs; next = this.queue.nextToExpire()) {
            this.queue.remove(next);
            this.refuse(next, next.hasEarlyExpiry ? "target-unreachable" : "queue-timeout");
        }
    }

    private shedOverflow(): void {
        while (this.queue.size > this.options.maxWaitingTickets) {
            const lowest = this.queue.findShedCandidate();
            if (lowest === undefined) {
                return;
            }
            this.queue.remove(lowest);
            this.refuse(lowest, "shed");
        }
    }

    /** Gives one grant: first to classes under their floor, then by tier. */
    private grantNext(nowMs: number): boolean {
        for (let tier = 0; tier < this.queue.tierCount; tier++) {
            if (this.grantFloor(tier, nowMs)) {
                return true;
            }
        }
        for (let tier = 0; tier < this.queue.tierCount; tier++) {
            if (this.grantFrom(tier, nowMs)) {
                return true;
            }
        }
        return false;
    }

    private grantFloor(tier: number, nowMs: number): boolean {
        for (const lane of this.queue.lanes(tier)) {
            if (lane.size > 0 && this.isUnderFloor(lane.serviceClass) && this.tryGrantFloor(lane, nowMs)) {
                return true;
            }
        }
        return false;
    }

    private isUnderFloor(serviceClass: string): boolean {
        return this.grants.inFlightOfClass(serviceClass) < this.classes.floorSlotsOf(serviceClass, this.totalSlots);
    }

    private grantFrom(tier: number, nowMs: number): boolean {
        for (const lane of this.lanesByTurn(tier, nowMs)) {
            if (this.tryGrant(lane, nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Lanes of a tier whose head is worth a look: on-time heads by their latest start, then late ones. */
    private lanesByTurn(tier: number, nowMs: number): readonly TicketLane[] {
        const { lanesInTurn } = this;
        const isNoneChanged = this.changedEngines.length === 0;
        lanesInTurn.length = 0;
        for (const lane of this.queue.lanes(tier)) {
            const head = lane.head(nowMs);
            if (head !== undefined && !(isNoneChanged && lane.blockedHead === head)) {
                lanesInTurn.push(lane);
            }
        }
        return lanesInTurn.length < 2 ? lanesInTurn : lanesInTurn.sort(compareLanes);
    }

    private tryGrant(lane: TicketLane, nowMs: number): boolean {
        const head = lane.currentHead as QueuedTicket;
        const engines = lane.blockedHead === head ? this.changedEngines : this.engineList;
        const predictions = this.ranker.rank(engines, head, this.classes.floorShareBelow(lane.tier), false, nowMs);
        if (predictions.length === 0) {
            lane.blockedHead = head;
            return false;
        }
        this.grant(head, predictions, nowMs);
        return true;
    }

    private tryGrantFloor(lane: TicketLane, nowMs: number): boolean {
        const head = lane.head(nowMs) as QueuedTicket;
        const engines = lane.blockedFloorHead === head ? this.changedEngines : this.engineList;
        const predictions = this.ranker.rank(engines, head, 0, true, nowMs);
        if (predictions.length === 0) {
            lane.blockedFloorHead = head;
            return false;
        }
        this.grant(head, predictions, nowMs);
        return true;
    }

    private grant(waiting: QueuedTicket, predictions: readonly EnginePrediction[], nowMs: number): void {
        const best = predictions[0] as EnginePrediction;
        const running = this.place(waiting, best, false, nowMs);
        this.queue.removeGranted(waiting);
        this.hedges.earn();
        const runnersUp = predictions.slice(1, 1 + maxRunnersUp).map(({ upstreamId, finishMs }) => ({
            upstreamId,
            predictedFinishMs: Math.round(finishMs),
        }));
        this.actions.push(toGrantAction(running, waiting.offeredAtMs, best.finishMs, runnersUp));
    }

    /** Puts a ticket's work on an engine. */
    private place(waiting: QueuedTicket, on: EnginePrediction, isHedge: boolean, nowMs: number): ActiveGrant {
        const { ticket } = waiting;
        const engine = this.engines.get(on.upstreamId) as Engine;
        const running: ActiveGrant = {
            grantId: `${this.options.grantIdPrefix}/${this.grantSequence++}`,
            ticket,
            upstreamId: on.upstreamId,
            grantedAtMs: nowMs,
            priority: waiting.priority,
            isLong: waiting.isLong,
            batchSize: engine.batchSize,
            prefillTokens: on.prefillTokens,
            maxPrefillTokens: engine.maxPendingPrefillTokens + ticket.promptTokens,
            uncachedTokens: on.uncachedTokens,
            predictedFirstTokenMs: on.firstTokenMs,
            tokenGapTargetMs: waiting.tokenGapTargetMs,
            predictedOutputTokens: waiting.expectedOutputTokens,
            outputTokens: 0,
            firstTokenMs: undefined,
            firstTokenAtMs: 0,
            lastSeenAtMs: nowMs,
            nextOverdueAgeMs: 0,
            batchRequestMsAtFirstToken: 0,
            totalPrefillTokensAtFirstToken: engine.totalPrefillTokens + on.uncachedTokens,
            hasSeenOversubscription: false,
            isPreempted: false,
            hedgeGrantId: undefined,
        };
        this.hold(engine, running, isHedge, nowMs);
        this.prefixes.recordPrefix(ticket.prefixHashes, on.upstreamId, nowMs);
        this.health.recordGrant(on.upstreamId, nowMs);
        return running;
    }

    /** Cancels lower-tier streams for tickets that would miss their target before a slot comes free. */
    private preempt(nowMs: number): void {
        if (!this.options.isPreemptionEnabled || this.queue.size === 0 || this.pendingPreemptions >= maxPreemptionsPerDecision) {
            return;
        }
        for (let tier = 0; tier < this.queue.tierCount; tier++) {
            const head = this.urgentHead(tier, nowMs);
            if (head === undefined) {
                continue;
            }
            const wanted = Math.min(maxPreemptionsPerDecision, this.queue.waitingCountUpTo(tier)) - this.pendingPreemptions;
            for (let count = 0; count < wanted; count++) {
                const victim = this.victims.selectVictim(this.engineList, head, this.totalSlots);
                if (victim === undefined || !this.waste.trySpend(victim.ticket.promptTokens + victim.outputTokens)) {
                    return;
                }
                this.askBack(victim, "higher-tier", tier);
            }
        }
    }

    /** A ticket of the tier that no engine could take and that is about to miss its target. */
    private urgentHead(tier: number, nowMs: number): QueuedTicket | undefined {
        for (const lane of this.queue.lanes(tier)) {
            const head = lane.size > 0 ? lane.blockedHead : undefined;
            if (head !== undefined && head === lane.currentHead && !head.isLate && head.latestStartAtMs - nowMs <= preemptionSlackMs) {
                return head;
            }
        }
        return undefined;
    }

    private askBack(grant: ActiveGrant, reason: "higher-tier" | "slow-upstream", forTier: number): void {
        this.grants.markPreempted(grant);
        this.pendingPreemptions++;
        const { entryVm, requestId, tier } = grant.ticket;
        const { grantId, upstreamId } = grant;
        this.actions.push({ type: "preempt", entryVm, requestId, grantId, tier, upstreamId, reason, forTier });
    }

    /** Moves streams off an engine that turned out slow, where that is predicted to pay and the waste budget allows. */
    private moveOffSlow(engine: Engine, nowMs: number): void {
        if (!this.moves.isSlowEnoughToMigrate(engine, nowMs)) {
            return;
        }
        for (const grant of engine.running) {
            if (
                this.moves.isMigrationWorthwhile(engine, grant, this.engineList, nowMs) &&
                this.waste.trySpend(grant.ticket.promptTokens + grant.outputTokens)
            ) {
                this.askBack(grant, "slow-upstream", grant.ticket.tier);
            }
        }
    }

    /** Opens a second stream for short work whose first token is late, while the budget lasts. */
    private hedge(grant: ActiveGrant, nowMs: number): void {
        const { ticket } = grant;
        const isShort = !grant.isLong && ticket.promptTokens <= maxHedgedPromptTokens && ticket.isResumed !== true;
        if (!isShort || grant.isPreempted || grant.hedgeGrantId !== undefined || !this.hedges.canSpend) {
            return;
        }
        const waiting = this.toWaiting({ ...ticket, excludedUpstreams: [...ticket.excludedUpstreams, grant.upstreamId] }, nowMs);
        const [best] = this.ranker.rank(this.engineList, waiting, this.classes.floorShareBelow(ticket.tier), false, nowMs);
        if (best === undefined) {
            return;
        }
        this.hedges.spend();
        const second = this.place(waiting, best, true, nowMs);
        grant.hedgeGrantId = second.grantId;
        second.hedgeGrantId = grant.grantId;
        this.actions.push({
            type: "hedge",
            entryVm: ticket.entryVm,
            requestId: ticket.requestId,
            attempt: ticket.attempt,
            grantId: second.grantId,
            hedgedGrantId: grant.grantId,
            upstreamId: second.upstreamId,
            priority: second.priority,
        });
    }

    private refuse(waiting: QueuedTicket, kind: Extract<DispatchAction, { type: "refuse"; }>["kind"]): void {
        const { entryVm, requestId, attempt, tier } = waiting.ticket;
        const retryAfterMs = Math.ceil(this.predictedWaitMs(tier));
        this.actions.push({ type: "refuse", entryVm, requestId, attempt, tier, kind, retryAfterMs });
    }

    private toWaiting(ticket: Ticket, nowMs: number): QueuedTicket {
        const expectedOutputTokens = this.lengths.meanAtStart(ticket, ticket.maxOutputTokens);
        const firstTokenMs = this.speed.firstTokenMs(ticket.promptTokens, assumedBatchSize);
        const serviceMs = firstTokenMs + expectedOutputTokens * this.speed.gapMs(assumedBatchSize);
        const latestStartMs = nowMs - ticket.waitedMs + ticket.firstTokenTargetMs - firstTokenMs;
        const boundMs = nowMs - ticket.waitedMs + ticket.maxQueueMs;
        const expiresEarly = this.classes.canRefuseEarly(ticket.serviceClass) && ticket.isResumed !== true && latestStartMs < boundMs;
        return {
            ticket,
            sequence: this.ticketSequence++,
            offeredAtMs: nowMs,
            latestStartAtMs: latestStartMs,
            expiresAtMs: expiresEarly ? latestStartMs : boundMs,
            hasEarlyExpiry: expiresEarly,
            priority: 2 * ticket.tier + (ticket.promptTokens > longPromptTokens ? 1 : 0),
            isLong: serviceMs > this.options.longWorkThresholdMs,
            expectedOutputTokens,
            serviceMs,
            tokenGapTargetMs: this.classes.tokenGapTargetMs(ticket.serviceClass),
            isLate: false,
            orderPosition: -1,
            expiryPosition: -1,
        };
    }

    private toAdopted(engine: Engine, adopted: AdoptedGrant, nowMs: number): ActiveGrant {
        const { ticket, grantId, upstreamId, ageMs, outputTokens } = adopted;
        const waiting = this.toWaiting(ticket, nowMs);
        const isRead = outputTokens > 0 || adopted.firstTokenMs !== undefined;
        return {
            grantId,
            ticket,
            upstreamId,
            grantedAtMs: nowMs - ageMs,
            priority: waiting.priority,
            isLong: waiting.isLong,
            batchSize: engine.batchSize,
            prefillTokens: ticket.promptTokens,
            maxPrefillTokens: ticket.promptTokens,
            uncachedTokens: isRead ? 0 : ticket.promptTokens,
            predictedFirstTokenMs: this.speed.firstTokenMs(ticket.promptTokens, engine.batchSize),
            tokenGapTargetMs: waiting.tokenGapTargetMs,
            predictedOutputTokens: this.lengths.mean(ticket, outputTokens, ticket.maxOutputTokens),
            outputTokens,
            firstTokenMs: isRead ? adopted.firstTokenMs ?? ageMs : undefined,
            firstTokenAtMs: nowMs,
            lastSeenAtMs: nowMs,
            nextOverdueAgeMs: Infinity,
            batchRequestMsAtFirstToken: engine.batchRequestMsUntil(nowMs),
            totalPrefillTokensAtFirstToken: engine.totalPrefillTokens,
            // What it saw before is not known, so its speed is not learnt from.
            hasSeenOversubscription: true,
            isPreempted: false,
            hedgeGrantId: undefined,
        };
    }

    /** Time until what waits at this tier or above has been given slots, and one more comes free. */
    private predictedWaitMs(tier: number): number {
        if (this.queue.size === 0 && this.freeSlots() > 0) {
            return 0;
        }
        const waiting = this.queue.waitingCountUpTo(tier);
        const aheadMs = this.queue.serviceMsUpTo(tier);
        const usualMs = waiting > 0 ? aheadMs / waiting : assumedBatchSize * this.speed.gapMs(assumedBatchSize);
        return (aheadMs + usualMs) / Math.max(1, this.totalSlots);
    }

    /** A first token that does not come is a sign as good as one that came late. */
    private checkOverdue(grant: ActiveGrant, nowMs: number): void {
        const engine = this.engines.get(grant.upstreamId);
        const ageMs = nowMs - grant.grantedAtMs;
        if (engine === undefined || grant.hasSeenOversubscription || ageMs < grant.nextOverdueAgeMs) {
            return;
        }
        const expectedMs = this.learner.worstCaseFirstTokenMs(engine, grant);
        if (ageMs > expectedMs * hedgeRatio + hedgeSlackMs) {
            this.hedge(grant, nowMs);
        }
        const overdueMs = expectedMs * overdueRatio + overdueSlackMs;
        if (ageMs < overdueMs) {
            grant.nextOverdueAgeMs = grant.hedgeGrantId === undefined && this.options.hedgeShare > 0 ? 0 : overdueMs;
            return;
        }
        grant.nextOverdueAgeMs = ageMs * overdueRatio;
        this.health.observeLatency(grant.upstreamId, ageMs, expectedMs, nowMs);
        this.moveOffSlow(engine, nowMs);
    }

    private hold(engine: Engine, grant: ActiveGrant, isHedge: boolean, nowMs: number): void {
        engine.add(grant, nowMs);
        this.grants.add(grant, isHedge);
    }

    private release(grant: ActiveGrant, nowMs: number): void {
        if (this.grants.remove(grant)) {
            this.engines.get(grant.upstreamId)?.remove(grant, nowMs);
            this.pendingPreemptions -= grant.isPreempted ? 1 : 0;
        }
    }

    /** Where an ended or changed grant ran. */
    private enginesOf(grant: ActiveGrant | undefined): readonly Engine[] {
        const engine = grant && this.engines.get(grant.upstreamId);
        return engine === undefined ? noEngines : [engine];
    }

    /** Forgets engines that were taken off the list, once their last request has ended. */
    private dropGoneEngines(nowMs: number): void {
        if (!this.engineList.some(isGone)) {
            return;
        }
        for (const engine of this.engineList.filter(isGone)) {
            this.engines.delete(engine.upstream.id);
        }
        this.noteEngines(nowMs);
    }

    private noteEngines(nowMs: number): void {
        this.engineList = [...this.engines.values()];
        this.totalSlots = this.engineList.reduce((slots, { upstream }) => slots + (upstream.leaving ? 0 : upstream.maxInFlight), 0);
        this.health.setEngines([...this.engines.keys()], nowMs);
    }

    private freeSlots(): number {
        let slots = 0;
        for (const engine of this.engineList) {
            slots += engine.upstream.leaving ? 0 : Math.max(0, engine.upstream.maxInFlight - engine.inFlight);
        }
        return slots;
    }
}

function isGone(engine: Engine): boolean {
    return engine.upstream.leaving && engine.inFlight === 0;
}

function compareLanes(leftLane: TicketLane, rightLane: TicketLane): number {
    const left = leftLane.currentHead as QueuedTicket;
    const right = rightLane.currentHead as QueuedTicket;
    if (left.isLate !== right.isLate) {
        return left.isLate ? 1 : -1;
    }
    return left.latestStartAtMs - right.latestStartAtMs;
}

function toGrantAction(
    running: ActiveGrant,
    offeredMs: number,
    finishMs: number,
    runnersUp: Extract<DispatchAction, { type: "grant"; }>["runnersUp"],
): DispatchAction {
    const { ticket, grantId, upstreamId, predictedFirstTokenMs } = running;
    return {
        type: "grant",
        entryVm: ticket.entryVm,
        requestId: ticket.requestId,
        attempt: ticket.attempt,
        grantId,
        upstreamId,
        tier: ticket.tier,
        priority: running.priority,
        waitedMs: ticket.waitedMs + Math.max(0, running.grantedAtMs - offeredMs),
        predictedFirstTokenMs: Math.round(predictedFirstTokenMs),
        predictedFinishMs: Math.round(finishMs),
        runnersUp,
    };
}
