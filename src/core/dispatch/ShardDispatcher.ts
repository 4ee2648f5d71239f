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
/** Maximum time between ticks while any ticket waits or grant runs. */
const maxTickIntervalMs = 25;
/** A first token later than the predicted time multiplied by this, plus `overdueMarginMs`, is a sign of a slow engine. */
const overdueRatio = 2;
const overdueMarginMs = 60;
/** A first token later than the predicted time multiplied by this, plus `hedgeMarginMs`, triggers a hedge. */
const hedgeRatio = 1.5;
const hedgeMarginMs = 40;
const maxHedgedPromptTokens = 2_048;
/** A ticket waits for a free slot until this long before its latest start; only then is a lower-tier stream preempted for it. */
const preemptionMarginMs = 100;
const noEngines: readonly Engine[] = [];
const maxPendingPreemptions = 4;
/** Prompts longer than this get a lower engine priority than the shorter ones of their tier. */
const longPromptTokens = 2_048;

/**
 * Schedules the requests of one shard: owns its ticket queue and tracks every in-flight grant of its engines. Most calls return the
 * resulting decisions, which the calling code has to execute. `nowMs` is the time of the call in ms on one monotonic clock.
 */
export class ShardDispatcher {
    private readonly queue: TicketQueue;
    private readonly engines = new Map<string, Engine>();
    /** Values of `engines`, as an array for loops on the hot path. */
    private engineList: Engine[] = [];
    private readonly grants = new GrantTable();
    private readonly classes = new ServiceClassTable();
    private readonly lengthEstimator = new OutputLengthEstimator();
    private readonly speedModel = new EngineSpeedModel();
    private readonly prefixHints = new PrefixCacheHints();
    private readonly outlierDetector = new OutlierDetector();
    private readonly estimateUpdater = new EstimateUpdater(this.lengthEstimator, this.speedModel, this.prefixHints, this.outlierDetector);
    private readonly ranker: EngineRanker;
    private readonly migrationPolicy: MigrationPolicy;
    private readonly victimSelector = new PreemptionVictimSelector(this.grants, this.classes);
    private readonly recomputeBudget: RecomputeBudget;
    private readonly hedgeBudget: HedgeBudget;
    private actions: DispatchAction[] = [];
    /** Result buffer that `collectLanesToTry` reuses. */
    private readonly lanesToTry: TicketLane[] = [];
    private changedEngines: readonly Engine[] = [];
    private ticketSequence = 0;
    private grantSequence = 0;
    private pendingPreemptions = 0;
    private totalSlots = 0;

    /** `random` returns numbers in [0, 1). */
    constructor(private readonly options: DispatchOptions, random: () => number) {
        this.queue = new TicketQueue(options.order);
        this.ranker = new EngineRanker(options, this.speedModel, this.outlierDetector, this.prefixHints, random);
        this.migrationPolicy = new MigrationPolicy(options, this.speedModel, this.outlierDetector);
        this.recomputeBudget = new RecomputeBudget(options.recomputeShare);
        this.hedgeBudget = new HedgeBudget(options.hedgeShare);
    }

    setClasses(classes: readonly ServiceClass[]): void {
        this.classes.set(classes);
    }

    /** Sets the engines of the shard. An engine that is no longer listed drains: its in-flight grants are tracked until they end. */
    setUpstreams(upstreams: readonly DispatchUpstream[], nowMs: number): readonly DispatchAction[] {
        const listedIds = new Set(upstreams.map(upstream => upstream.id));
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
            if (!listedIds.has(id)) {
                engine.upstream = { ...engine.upstream, leaving: true };
            }
        }
        this.refreshEngines(nowMs);
        return this.decide(nowMs);
    }

    /** Queues a ticket. Idempotent per attempt: a repeated offer only returns an existing grant. A newer attempt replaces an older one. */
    offer(ticket: Ticket, nowMs: number): readonly DispatchAction[] {
        const queuedTicket = this.queue.get(ticket.requestId);
        if (queuedTicket !== undefined) {
            if (queuedTicket.ticket.attempt >= ticket.attempt) {
                return [];
            }
            this.queue.remove(queuedTicket);
        }
        const activeGrant = this.grants.findByRequest(ticket.requestId);
        if (activeGrant !== undefined) {
            if (activeGrant.ticket.attempt === ticket.attempt) {
                return [toGrantAction(activeGrant, activeGrant.grantedAtMs, activeGrant.predictedFirstTokenMs, [])];
            }
            if (activeGrant.ticket.attempt > ticket.attempt) {
                return [];
            }
            this.releaseGrant(activeGrant, nowMs);
        }
        this.queue.add(this.toQueuedTicket(ticket, nowMs));
        this.shedOverflow();
        return this.decide(nowMs, this.toChangedEngines(activeGrant));
    }

    /** Withdraws this and earlier attempts of a request whose caller disconnected or gave up: removes its ticket or releases its grant. */
    withdraw(requestId: string, attempt: number, nowMs: number): readonly DispatchAction[] {
        const queuedTicket = this.queue.get(requestId);
        if (queuedTicket !== undefined && queuedTicket.ticket.attempt <= attempt) {
            this.queue.remove(queuedTicket);
        }
        const activeGrant = this.grants.findByRequest(requestId);
        if (activeGrant !== undefined && activeGrant.ticket.attempt <= attempt) {
            this.releaseGrant(activeGrant, nowMs);
        }
        return this.decide(nowMs, this.toChangedEngines(activeGrant));
    }

    /**
     * Records progress that an entry VM reports: `firstTokenMs` is the time from the grant to the first token, `recentGapMs` the recent
     * token gap.
     */
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
        if (isFirst && this.estimateUpdater.observeFirstToken(engine, grant, firstTokenMs, nowMs)) {
            this.migrateOffSlowEngine(engine, nowMs);
        }
        if (recentGapMs !== undefined && this.estimateUpdater.observeTokenGap(engine, grant, recentGapMs, nowMs)) {
            this.migrateOffSlowEngine(engine, nowMs);
        }
        grant.outputTokens = Math.max(grant.outputTokens, outputTokens);
        grant.predictedOutputTokens = this.lengthEstimator.mean(grant.ticket, grant.outputTokens, grant.ticket.maxOutputTokens);
        grant.lastSeenAtMs = nowMs;
        return isFirst ? this.decide(nowMs, this.toChangedEngines(grant)) : this.takeActions();
    }

    /** Ends a grant, learns from its result and frees its slot. Does nothing for an unknown grant. */
    endGrant(grantId: string, end: GrantEnd, nowMs: number): readonly DispatchAction[] {
        const grant = this.grants.get(grantId);
        if (grant === undefined) {
            return [];
        }
        this.recomputeBudget.earn(grant.uncachedTokens + end.outputTokens);
        this.estimateUpdater.observeGrantEnd(this.engines.get(grant.upstreamId), grant, end, nowMs);
        this.releaseGrant(grant, nowMs);
        return this.decide(nowMs, this.toChangedEngines(grant));
    }

    /** Removes all tickets and grants of a lost entry VM. */
    dropEntryVm(vm: string, nowMs: number): readonly DispatchAction[] {
        for (const queuedTicket of [...this.queue.all()]) {
            if (queuedTicket.ticket.entryVm === vm) {
                this.queue.remove(queuedTicket);
            }
        }
        for (const grant of this.grants.all()) {
            if (grant.ticket.entryVm === vm) {
                this.releaseGrant(grant, nowMs);
            }
        }
        return this.decide(nowMs);
    }

    /** Takes over running grants of a previous dispatcher. Waiting tickets are not taken over: entry VMs offer them again. */
    adopt(adoptedGrants: readonly AdoptedGrant[], nowMs: number): readonly DispatchAction[] {
        for (const adopted of adoptedGrants) {
            const engine = this.engines.get(adopted.upstreamId);
            const isKnown = this.grants.get(adopted.grantId) !== undefined ||
                this.grants.findByRequest(adopted.ticket.requestId) !== undefined;
            if (engine !== undefined && !isKnown) {
                this.addGrant(engine, this.toActiveGrant(engine, adopted, nowMs), false, nowMs);
            }
        }
        return this.decide(nowMs);
    }

    /** Records that an entry VM still uses these grants, even if no tokens arrive. */
    keepAlive(grantIds: readonly string[], nowMs: number): void {
        for (const grantId of grantIds) {
            const grant = this.grants.get(grantId);
            if (grant !== undefined) {
                grant.lastSeenAtMs = nowMs;
            }
        }
    }

    /** Handles timeouts: releases lost grants, refuses expired tickets and checks for overdue first tokens. */
    tick(nowMs: number): readonly DispatchAction[] {
        for (const grant of this.grants.all()) {
            if (nowMs - grant.lastSeenAtMs > this.options.grantIdleTimeoutMs) {
                this.releaseGrant(grant, nowMs);
            }
            else if (grant.firstTokenMs === undefined) {
                this.checkFirstTokenOverdue(grant, nowMs);
            }
        }
        return this.decide(nowMs);
    }

    /** Time at which `tick` should next be called; undefined if no ticket waits and no grant runs. */
    nextTickAtMs(nowMs: number): number | undefined {
        if (this.queue.size === 0 && this.grants.size === 0) {
            return undefined;
        }
        const expiresAtMs = this.queue.nextToExpire()?.expiresAtMs ?? Infinity;
        return Math.max(nowMs, Math.min(expiresAtMs, nowMs + maxTickIntervalMs));
    }

    isWaiting(requestId: string): boolean {
        return this.queue.get(requestId) !== undefined;
    }

    queueState(): QueueState {
        const waitMsByTier: number[] = [];
        for (let tier = 0; tier < Math.max(1, this.queue.tierCount); tier++) {
            waitMsByTier.push(Math.round(this.predictWaitMs(tier)));
        }
        return { waiting: this.queue.size, freeSlots: this.countFreeSlots(), waitMsByTier };
    }

    /** Number of in-flight grants by engine id, for status pages. */
    inFlight(): ReadonlyMap<string, number> {
        return new Map([...this.engines].map(([id, engine]) => [id, engine.inFlight]));
    }

    /**
     * Makes all decisions due at `nowMs`. For a blocked head, only `changedEngines`, which may have gained capacity since the last
     * decision, are tried again.
     */
    private decide(nowMs: number, changedEngines: readonly Engine[] = this.engineList): readonly DispatchAction[] {
        this.changedEngines = changedEngines;
        this.refuseExpired(nowMs);
        while (this.queue.size > 0 && this.grantNext(nowMs)) {
            // Each call of `grantNext` makes one grant.
        }
        this.preemptLowerTiers(nowMs);
        this.removeDrainedEngines(nowMs);
        return this.takeActions();
    }

    private takeActions(): readonly DispatchAction[] {
        const actions = this.actions;
        this.actions = [];
        return actions;
    }

    private refuseExpired(nowMs: number): void {
        for (let next = this.queue.nextToExpire(); next !== undefined && next.expiresAtMs <= nowMs; next = this.queue.nextToExpire()) {
            this.queue.remove(next);
            this.refuse(next, next.isRefusedEarly ? "target-unreachable" : "queue-timeout");
        }
    }

    private shedOverflow(): void {
        while (this.queue.size > this.options.maxWaitingTickets) {
            const candidate = this.queue.findShedCandidate();
            if (candidate === undefined) {
                return;
            }
            this.queue.remove(candidate);
            this.refuse(candidate, "shed");
        }
    }

    /** Makes one grant: first to classes under their floor, then by tier. Returns false if no ticket can be granted. */
    private grantNext(nowMs: number): boolean {
        for (let tier = 0; tier < this.queue.tierCount; tier++) {
            if (this.grantUnderFloor(tier, nowMs)) {
                return true;
            }
        }
        for (let tier = 0; tier < this.queue.tierCount; tier++) {
            if (this.grantFromTier(tier, nowMs)) {
                return true;
            }
        }
        return false;
    }

    private grantUnderFloor(tier: number, nowMs: number): boolean {
        for (const lane of this.queue.lanes(tier)) {
            if (lane.size > 0 && this.isUnderFloor(lane.serviceClass) && this.tryGrantUnderFloor(lane, nowMs)) {
                return true;
            }
        }
        return false;
    }

    private isUnderFloor(serviceClass: string): boolean {
        return this.grants.inFlightOfClass(serviceClass) < this.classes.floorSlotsOf(serviceClass, this.totalSlots);
    }

    private grantFromTier(tier: number, nowMs: number): boolean {
        for (const lane of this.collectLanesToTry(tier, nowMs)) {
            if (this.tryGrant(lane, nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Collects the lanes of a tier whose head may be grantable: on-time heads by latest start, then late ones. */
    private collectLanesToTry(tier: number, nowMs: number): readonly TicketLane[] {
        const { lanesToTry } = this;
        const isEveryEngineUnchanged = this.changedEngines.length === 0;
        lanesToTry.length = 0;
        for (const lane of this.queue.lanes(tier)) {
            const head = lane.head(nowMs);
            if (head !== undefined && !(isEveryEngineUnchanged && lane.blockedHead === head)) {
                lanesToTry.push(lane);
            }
        }
        return lanesToTry.length < 2 ? lanesToTry : lanesToTry.sort(compareLanes);
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

    private tryGrantUnderFloor(lane: TicketLane, nowMs: number): boolean {
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

    private grant(queuedTicket: QueuedTicket, predictions: readonly EnginePrediction[], nowMs: number): void {
        const best = predictions[0] as EnginePrediction;
        const activeGrant = this.placeOnEngine(queuedTicket, best, false, nowMs);
        this.queue.removeGranted(queuedTicket);
        this.hedgeBudget.recordGrant();
        const runnersUp = predictions.slice(1, 1 + maxRunnersUp).map(({ upstreamId, finishMs }) => ({
            upstreamId,
            predictedFinishMs: Math.round(finishMs),
        }));
        this.actions.push(toGrantAction(activeGrant, queuedTicket.offeredAtMs, best.finishMs, runnersUp));
    }

    /** Creates a grant for a ticket on the predicted engine. */
    private placeOnEngine(queuedTicket: QueuedTicket, prediction: EnginePrediction, isHedge: boolean, nowMs: number): ActiveGrant {
        const { ticket } = queuedTicket;
        const engine = this.engines.get(prediction.upstreamId) as Engine;
        const activeGrant: ActiveGrant = {
            grantId: `${this.options.grantIdPrefix}/${this.grantSequence++}`,
            ticket,
            upstreamId: prediction.upstreamId,
            grantedAtMs: nowMs,
            priority: queuedTicket.priority,
            isLong: queuedTicket.isLong,
            batchSize: engine.batchSize,
            prefillTokens: prediction.prefillTokens,
            maxPrefillTokens: engine.maxPendingPrefillTokens + ticket.promptTokens,
            uncachedTokens: prediction.uncachedTokens,
            predictedFirstTokenMs: prediction.firstTokenMs,
            tokenGapTargetMs: queuedTicket.tokenGapTargetMs,
            predictedOutputTokens: queuedTicket.expectedOutputTokens,
            outputTokens: 0,
            firstTokenMs: undefined,
            firstTokenAtMs: 0,
            lastSeenAtMs: nowMs,
            nextOverdueAgeMs: 0,
            batchRequestMsAtFirstToken: 0,
            totalPrefillTokensAtFirstToken: engine.totalPrefillTokens + prediction.uncachedTokens,
            hasSeenOversubscription: false,
            isPreempted: false,
            hedgeGrantId: undefined,
        };
        this.addGrant(engine, activeGrant, isHedge, nowMs);
        this.prefixHints.recordPrefix(ticket.prefixHashes, prediction.upstreamId, nowMs);
        this.outlierDetector.recordGrant(prediction.upstreamId, nowMs);
        return activeGrant;
    }

    /** Preempts lower-tier streams for blocked tickets that are about to miss their first-token target. */
    private preemptLowerTiers(nowMs: number): void {
        if (!this.options.isPreemptionEnabled || this.queue.size === 0 || this.pendingPreemptions >= maxPendingPreemptions) {
            return;
        }
        for (let tier = 0; tier < this.queue.tierCount; tier++) {
            const head = this.findUrgentHead(tier, nowMs);
            if (head === undefined) {
                continue;
            }
            const wantedPreemptions = Math.min(maxPendingPreemptions, this.queue.waitingCountUpTo(tier)) - this.pendingPreemptions;
            for (let count = 0; count < wantedPreemptions; count++) {
                const victim = this.victimSelector.selectVictim(this.engineList, head, this.totalSlots);
                if (victim === undefined || !this.recomputeBudget.trySpend(victim.ticket.promptTokens + victim.outputTokens)) {
                    return;
                }
                this.preemptGrant(victim, "higher-tier", tier);
            }
        }
    }

    /** Finds a ticket of the tier that no engine could accept and that is about to miss its first-token target. */
    private findUrgentHead(tier: number, nowMs: number): QueuedTicket | undefined {
        for (const lane of this.queue.lanes(tier)) {
            const head = lane.size > 0 ? lane.blockedHead : undefined;
            if (head !== undefined && head === lane.currentHead && !head.isLate && head.latestStartAtMs - nowMs <= preemptionMarginMs) {
                return head;
            }
        }
        return undefined;
    }

    private preemptGrant(grant: ActiveGrant, reason: "higher-tier" | "slow-upstream", forTier: number): void {
        this.grants.markPreempted(grant);
        this.pendingPreemptions++;
        const { entryVm, requestId, tier } = grant.ticket;
        const { grantId, upstreamId } = grant;
        this.actions.push({ type: "preempt", entryVm, requestId, grantId, tier, upstreamId, reason, forTier });
    }

    /** Preempts the streams of a slow engine that are predicted to finish sooner elsewhere, within the recompute budget. */
    private migrateOffSlowEngine(engine: Engine, nowMs: number): void {
        if (!this.migrationPolicy.isSlowEnoughToMigrate(engine, nowMs)) {
            return;
        }
        for (const grant of engine.running) {
            if (
                this.migrationPolicy.isMigrationWorthwhile(engine, grant, this.engineList, nowMs) &&
                this.recomputeBudget.trySpend(grant.ticket.promptTokens + grant.outputTokens)
            ) {
                this.preemptGrant(grant, "slow-upstream", grant.ticket.tier);
            }
        }
    }

    /** Opens a second stream for a short request whose first token is late, within the hedge budget. */
    private hedgeGrant(grant: ActiveGrant, nowMs: number): void {
        const { ticket } = grant;
        const isHedgeCandidate = !grant.isLong && ticket.promptTokens <= maxHedgedPromptTokens && ticket.isResumed !== true;
        if (!isHedgeCandidate || grant.isPreempted || grant.hedgeGrantId !== undefined || !this.hedgeBudget.canSpend) {
            return;
        }
        const queuedTicket = this.toQueuedTicket({ ...ticket, excludedUpstreams: [...ticket.excludedUpstreams, grant.upstreamId] }, nowMs);
        const [best] = this.ranker.rank(this.engineList, queuedTicket, this.classes.floorShareBelow(ticket.tier), false, nowMs);
        if (best === undefined) {
            return;
        }
        this.hedgeBudget.spend();
        const hedge = this.placeOnEngine(queuedTicket, best, true, nowMs);
        grant.hedgeGrantId = hedge.grantId;
        hedge.hedgeGrantId = grant.grantId;
        this.actions.push({
            type: "hedge",
            entryVm: ticket.entryVm,
            requestId: ticket.requestId,
            attempt: ticket.attempt,
            grantId: hedge.grantId,
            hedgedGrantId: grant.grantId,
            upstreamId: hedge.upstreamId,
            priority: hedge.priority,
        });
    }

    private refuse(queuedTicket: QueuedTicket, kind: Extract<DispatchAction, { type: "refuse"; }>["kind"]): void {
        const { entryVm, requestId, attempt, tier } = queuedTicket.ticket;
        const retryAfterMs = Math.ceil(this.predictWaitMs(tier));
        this.actions.push({ type: "refuse", entryVm, requestId, attempt, tier, kind, retryAfterMs });
    }

    private toQueuedTicket(ticket: Ticket, nowMs: number): QueuedTicket {
        const expectedOutputTokens = this.lengthEstimator.meanAtStart(ticket, ticket.maxOutputTokens);
        const firstTokenMs = this.speedModel.firstTokenMs(ticket.promptTokens, assumedBatchSize);
        const serviceMs = firstTokenMs + expectedOutputTokens * this.speedModel.gapMs(assumedBatchSize);
        const latestStartAtMs = nowMs - ticket.waitedMs + ticket.firstTokenTargetMs - firstTokenMs;
        const queueDeadlineAtMs = nowMs - ticket.waitedMs + ticket.maxQueueMs;
        const isRefusedEarly = this.classes.canRefuseEarly(ticket.serviceClass) && ticket.isResumed !== true &&
            latestStartAtMs < queueDeadlineAtMs;
        return {
            ticket,
            sequence: this.ticketSequence++,
            offeredAtMs: nowMs,
            latestStartAtMs,
            expiresAtMs: isRefusedEarly ? latestStartAtMs : queueDeadlineAtMs,
            isRefusedEarly,
            priority: 2 * ticket.tier + (ticket.promptTokens > longPromptTokens ? 1 : 0),
            isLong: serviceMs > this.options.longRequestThresholdMs,
            expectedOutputTokens,
            serviceMs,
            tokenGapTargetMs: this.classes.tokenGapTargetMs(ticket.serviceClass),
            isLate: false,
            orderPosition: -1,
            expiryPosition: -1,
        };
    }

    private toActiveGrant(engine: Engine, adopted: AdoptedGrant, nowMs: number): ActiveGrant {
        const { ticket, grantId, upstreamId, ageMs, outputTokens } = adopted;
        const queuedTicket = this.toQueuedTicket(ticket, nowMs);
        const hasFirstToken = outputTokens > 0 || adopted.firstTokenMs !== undefined;
        return {
            grantId,
            ticket,
            upstreamId,
            grantedAtMs: nowMs - ageMs,
            priority: queuedTicket.priority,
            isLong: queuedTicket.isLong,
            batchSize: engine.batchSize,
            prefillTokens: ticket.promptTokens,
            maxPrefillTokens: ticket.promptTokens,
            uncachedTokens: hasFirstToken ? 0 : ticket.promptTokens,
            predictedFirstTokenMs: this.speedModel.firstTokenMs(ticket.promptTokens, engine.batchSize),
            tokenGapTargetMs: queuedTicket.tokenGapTargetMs,
            predictedOutputTokens: this.lengthEstimator.mean(ticket, outputTokens, ticket.maxOutputTokens),
            outputTokens,
            firstTokenMs: hasFirstToken ? adopted.firstTokenMs ?? ageMs : undefined,
            firstTokenAtMs: nowMs,
            lastSeenAtMs: nowMs,
            nextOverdueAgeMs: Infinity,
            batchRequestMsAtFirstToken: engine.batchRequestMsUntil(nowMs),
            totalPrefillTokensAtFirstToken: engine.totalPrefillTokens,
            // Whether the stream was paused before adoption is unknown, so the estimates must not learn from its timing.
            hasSeenOversubscription: true,
            isPreempted: false,
            hedgeGrantId: undefined,
        };
    }

    /**
     * Predicted wait of a new ticket: the slot time of the tickets in this tier and above, and of one more, spread over all slots. 0 if
     * nothing waits and a slot is free.
     */
    private predictWaitMs(tier: number): number {
        if (this.queue.size === 0 && this.countFreeSlots() > 0) {
            return 0;
        }
        const ticketCount = this.queue.waitingCountUpTo(tier);
        const aheadMs = this.queue.serviceMsUpTo(tier);
        const meanServiceMs = ticketCount > 0 ? aheadMs / ticketCount : assumedBatchSize * this.speedModel.gapMs(assumedBatchSize);
        return (aheadMs + meanServiceMs) / Math.max(1, this.totalSlots);
    }

    /** Hedges a request whose first token is overdue and feeds the delay to outlier detection before the token arrives. */
    private checkFirstTokenOverdue(grant: ActiveGrant, nowMs: number): void {
        const engine = this.engines.get(grant.upstreamId);
        const ageMs = nowMs - grant.grantedAtMs;
        if (engine === undefined || grant.hasSeenOversubscription || ageMs < grant.nextOverdueAgeMs) {
            return;
        }
        const expectedMs = this.estimateUpdater.worstCaseFirstTokenMs(engine, grant);
        if (ageMs > expectedMs * hedgeRatio + hedgeMarginMs) {
            this.hedgeGrant(grant, nowMs);
        }
        const overdueMs = expectedMs * overdueRatio + overdueMarginMs;
        if (ageMs < overdueMs) {
            grant.nextOverdueAgeMs = grant.hedgeGrantId === undefined && this.options.hedgeShare > 0 ? 0 : overdueMs;
            return;
        }
        grant.nextOverdueAgeMs = ageMs * overdueRatio;
        this.outlierDetector.observeLatency(grant.upstreamId, ageMs, expectedMs, nowMs);
        this.migrateOffSlowEngine(engine, nowMs);
    }

    private addGrant(engine: Engine, grant: ActiveGrant, isHedge: boolean, nowMs: number): void {
        engine.add(grant, nowMs);
        this.grants.add(grant, isHedge);
    }

    private releaseGrant(grant: ActiveGrant, nowMs: number): void {
        if (this.grants.remove(grant)) {
            this.engines.get(grant.upstreamId)?.remove(grant, nowMs);
            this.pendingPreemptions -= grant.isPreempted ? 1 : 0;
        }
    }

    /** Returns the engine of an ended or changed grant as a list for `decide`; empty if there is none. */
    private toChangedEngines(grant: ActiveGrant | undefined): readonly Engine[] {
        const engine = grant && this.engines.get(grant.upstreamId);
        return engine === undefined ? noEngines : [engine];
    }

    /** Removes leaving engines once their last grant has ended. */
    private removeDrainedEngines(nowMs: number): void {
        if (!this.engineList.some(isDrained)) {
            return;
        }
        for (const engine of this.engineList.filter(isDrained)) {
            this.engines.delete(engine.upstream.id);
        }
        this.refreshEngines(nowMs);
    }

    private refreshEngines(nowMs: number): void {
        this.engineList = [...this.engines.values()];
        this.totalSlots = this.engineList.reduce((slots, { upstream }) => slots + (upstream.leaving ? 0 : upstream.maxInFlight), 0);
        this.outlierDetector.setEngines([...this.engines.keys()], nowMs);
    }

    private countFreeSlots(): number {
        let slots = 0;
        for (const engine of this.engineList) {
            slots += engine.upstream.leaving ? 0 : Math.max(0, engine.upstream.maxInFlight - engine.inFlight);
        }
        return slots;
    }
}

function isDrained(engine: Engine): boolean {
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
    activeGrant: ActiveGrant,
    offeredAtMs: number,
    finishMs: number,
    runnersUp: Extract<DispatchAction, { type: "grant"; }>["runnersUp"],
): DispatchAction {
    const { ticket, grantId, upstreamId, predictedFirstTokenMs } = activeGrant;
    return {
        type: "grant",
        entryVm: ticket.entryVm,
        requestId: ticket.requestId,
        attempt: ticket.attempt,
        grantId,
        upstreamId,
        tier: ticket.tier,
        priority: activeGrant.priority,
        waitedMs: ticket.waitedMs + Math.max(0, activeGrant.grantedAtMs - offeredAtMs),
        predictedFirstTokenMs: Math.round(predictedFirstTokenMs),
        predictedFinishMs: Math.round(finishMs),
        runnersUp,
    };
}
