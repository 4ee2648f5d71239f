import { ResultAsync } from "neverthrow";
import { computeDutyRank } from "../../core/membership/computeDutyRank.js";
import { defaultMembershipSettings } from "../../core/membership/defaultMembershipSettings.js";
import { rankDutyVms } from "../../core/membership/rankDutyVms.js";
import { AdmissionPolicy } from "../../core/relay/AdmissionPolicy.js";
import { choosePlacementVm } from "../../core/relay/choosePlacementVm.js";
import { computeCallerLoadLimits } from "../../core/relay/computeCallerLoadLimits.js";
import { computeFollowerTiming } from "../../core/relay/computeFollowerTiming.js";
import { EnginePlacer } from "../../core/relay/EnginePlacer.js";
import { LeastLoadedPlacer } from "../../core/relay/LeastLoadedPlacer.js";
import type { Placement } from "../../core/relay/Placement.js";
import type { PlacementRefusal } from "../../core/relay/PlacementRefusal.js";
import type { PlacementRequest } from "../../core/relay/PlacementRequest.js";
import { UpstreamAvailability } from "../../core/relay/UpstreamAvailability.js";
import { UpstreamHealth } from "../../core/relay/UpstreamHealth.js";
import { UpstreamLoadTracker } from "../../core/relay/UpstreamLoadTracker.js";
import { computeRetryShare } from "../../core/retry/computeRetryShare.js";
import { FleetSizeEstimate } from "../../core/retry/FleetSizeEstimate.js";
import { HedgePolicy } from "../../core/retry/HedgePolicy.js";
import { RetryBudget } from "../../core/retry/RetryBudget.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { VmList } from "../../schema/platform/VmList.js";
import { sleepFor } from "../config/sleepFor.js";
import { DemandExchange } from "../duties/DemandExchange.js";
import type { DutyContext } from "../duties/DutyContext.js";
import { ScalingMetrics } from "../duties/ScalingMetrics.js";
import { ScalingTask } from "../duties/ScalingTask.js";
import { startDuties } from "../duties/startDuties.js";
import { toUsageLease } from "../duties/toUsageLease.js";
import { UsageTask } from "../duties/UsageTask.js";
import { createLogger } from "../logs/createLogger.js";
import { GossipMembership } from "../membership/GossipMembership.js";
import { Metrics } from "../metrics/Metrics.js";
import type { WebSocketPeerLinks } from "../peer/WebSocketPeerLinks.js";
import type { KeyedLog } from "../services/KeyedLog.js";
import { isConnectionRefused } from "../upstream/isConnectionRefused.js";
import { UpstreamConnections } from "../upstream/UpstreamConnections.js";
import { EngineSpeedExchange } from "./EngineSpeedExchange.js";
import { KeyedLogFollower } from "./KeyedLogFollower.js";
import { KeyedLogMonitor } from "./KeyedLogMonitor.js";
import { LoadExchange } from "./LoadExchange.js";
import { PlacementExchange } from "./PlacementExchange.js";
import { PromptPartGuard } from "./PromptPartGuard.js";
import { ReadForwarder } from "./ReadForwarder.js";
import { RegistryTask } from "./RegistryTask.js";
import { RelayMetrics } from "./RelayMetrics.js";
import { RelayServer } from "./RelayServer.js";
import { RelayState } from "./RelayState.js";
import type { RelayVmOptions } from "./RelayVmOptions.js";
import { SnapshotExchange } from "./SnapshotExchange.js";
import { startProbeServer } from "./startProbeServer.js";

const log = createLogger("vm");

/** Upstreams are a few milliseconds away; one that has not accepted a connection within this time is down or cut off. */
const connectTimeoutMs = 300;
/** Idle connections to upstreams are closed after this, before upstreams or network faults close them unnoticed. */
const keepAliveMs = 4_000;
/** A VM that starts does not read changes itself for this long; less than the three seconds for which a starting VM may lag behind. */
const followerStartupDelayMs = 1_500;
/** How long a VM that starts looks for another one that has the records of the platform's log, before it reads them itself. */
const snapshotWaits = { firstStart: { minMs: 3_000, maxMs: 5_000 }, restart: { minMs: 150, maxMs: 300 } };
/**
 * Membership selects the VMs that read the log and place calls for others. Both duties also have their own failover when a VM stops
 * answering, so failure detection may be slow: each heartbeat and tick costs a small VM a wake-up. Neighbours are reselected at most once
 * a second, as all VMs of a fleet may start at once.
 */
const membershipTiming = {
    tickMs: 200,
    heartbeatIntervalMs: 800,
    suspectAfterMs: 1_600,
    goneAfterMs: 2_600,
    probeIntervalMs: 400,
    maxTrustedTombstoneAgeMs: 2_000,
    minNeighbourSelectionIntervalMs: 1_000,
};
const latenessCheckIntervalMs = 200;
/** How long a stopping VM still accepts calls: the platform stops sending callers after two failed probes, a second apart. */
const acceptWhileStoppingMs = 2_800;
/** Part of the grace period kept back so that the last bytes are sent before the process is killed. */
const graceMarginMs = 300;
/** Time before the exit in which calls that are still unanswered are told so. */
const lastAnswersMs = 200;
const leaveMessageFlushMs = 50;
/** Hash key for ranking the VMs that read the platform's log for the fleet. */
const logReaderDuty = "log-reader";
/** Hash key for ranking the VMs for the duties that are the task of one VM at a time. */
const fleetDuties = "fleet-duties";
/** Largest share by which a VM lengthens the delays of its probes of quarantined prompt parts. */
const maxProbeJitter = 0.5;
/** Share of the retry limits that VMs may use; the rest covers uneven traffic among them. */
const retryBudgetShare = 0.7;

interface RelayVmDependencies extends RelayVmOptions {
    readonly scheduler: Scheduler;
    readonly links: WebSocketPeerLinks;
    readonly incarnation: string;
    readonly peerUrl: string;
}

type FollowerOptions = ConstructorParameters<typeof KeyedLogFollower>[0];

/** A VM that relays calls: its servers, membership and background tasks. */
export class RelayVm {
    private readonly metrics = new Metrics();
    private readonly relayMetrics = new RelayMetrics(this.metrics, () => this.state.routeTable?.version);
    private readonly loadTracker: UpstreamLoadTracker;
    private readonly health = new UpstreamHealth();
    private readonly availability: UpstreamAvailability;
    private readonly connections = new UpstreamConnections({ connectTimeoutMs, keepAliveMs });
    private readonly retryBudgets = new Map<string, RetryBudget>();
    private readonly membership: GossipMembership;
    private readonly fleetSize: FleetSizeEstimate;
    private readonly state: RelayState;
    private readonly callerLoad: ReturnType<typeof computeCallerLoadLimits>;
    private readonly server: RelayServer;
    private readonly enginePlacer: EnginePlacer;
    private readonly plainPlacer: LeastLoadedPlacer;
    private readonly admissionPolicy: AdmissionPolicy | undefined;
    private readonly placementExchange: PlacementExchange;
    private readonly partGuard: PromptPartGuard;
    private readonly snapshots: SnapshotExchange;
    private readonly stopController = new AbortController();
    /** Ends the duties, and releases their lease, before the tasks that serve callers. */
    private readonly dutiesController = new AbortController();
    private readonly followers = new Map<string, KeyedLogFollower>();
    private registeredVms: VmList["vms"] = [];
    private registryTask: RegistryTask | undefined;
    private usage: UsageTask | undefined;
    private isStopping = false;

    constructor(private readonly dependencies: RelayVmDependencies) {
        const { vm, availabilityZone, region, incarnation, peerUrl, processorShare, links, scheduler, seeds } = dependencies;
        this.loadTracker = new UpstreamLoadTracker({ learnsEngineSpeeds: dependencies.learnsEngineSpeeds });
        this.membership = new GossipMembership({
            self: { vm, incarnation, availabilityZone, region, peerUrl, processorShare },
            seeds,
            links,
            scheduler,
            listedVms: () => this.registeredVms,
            settings: { ...defaultMembershipSettings, ...membershipTiming },
            maxDialsWhenAlone: 1,
        });
        this.fleetSize = new FleetSizeEstimate({
            clock: scheduler,
            countMembers: () => this.membership.members.length,
            hasPeers: seeds.some(seed => seed !== peerUrl),
            settleMs: dependencies.retryBudget.windowMs,
        });
        this.state = new RelayState({
            config: dependencies.config,
            upstreams: dependencies.upstreams,
            scheduler,
            signal: this.stopController.signal,
            onConfig: table => {
                this.server.setLimits(table.config.limits);
            },
            onUpstreamRemoved: id => {
                this.loadTracker.removeUpstream(id);
            },
            onEntryIgnored: reason => {
                this.relayMetrics.recordIgnoredEntry(reason);
            },
        });
        this.availability = new UpstreamAvailability({ directory: this.state.directory, health: this.health, random: Math.random });
        this.enginePlacer = new EnginePlacer(this.loadTracker, Math.random, dependencies.admission);
        this.plainPlacer = new LeastLoadedPlacer(this.loadTracker, availabilityZone, Math.random);
        this.admissionPolicy = dependencies.admission
            ? new AdmissionPolicy({
                loadTracker: this.loadTracker,
                random: Math.random,
                placesAllCalls: service => choosePlacementVm(service, this.membership.members) === vm,
            })
            : undefined;
        this.placementExchange = new PlacementExchange({
            vm,
            loadTracker: this.loadTracker,
            directory: this.state.directory,
            links,
            membership: this.membership,
            scheduler,
            placeLocally: request => this.placeLocally(request),
            sharesAvoidedUpstreams: service => dependencies.admission || this.loadTracker.engineSpeeds?.isUneven(service) === true,
        });
        this.snapshots = new SnapshotExchange({
            links,
            membership: this.membership,
            random: Math.random,
            getSnapshot: stream => this.followers.get(stream)?.getSnapshot(),
        });
        this.partGuard = new PromptPartGuard({
            vm,
            links,
            membership: this.membership,
            scheduler,
            probeJitter: Math.random() * maxProbeJitter,
            isDown: upstream => isConnectionRefused(upstream.address, this.stopController.signal),
        });
        this.metrics.registerGauge(
            "quarantined_prompt_parts",
            "Prompt parts that have crashed upstreams and whose calls are refused.",
            () => this.partGuard.quarantinedCount,
        );
        for (const state of ["leaving", "paused"] as const) {
            this.metrics.registerGauge(
                `${state}_upstreams`,
                `Listed upstreams that get no calls of this VM, as they have said in a response that they are ${state}.`,
                () => this.availability.count(state, scheduler.nowMs()),
            );
        }
        this.metrics.registerGauge(
            "missing_upstreams",
            "Upstreams that are missing from the list after an outage and still get calls, as their entries may only have expired.",
            () => this.state.directory.missingCount,
        );
        this.relayMetrics.addEngineSpeeds(this.loadTracker.engineSpeeds);
        this.callerLoad = computeCallerLoadLimits(dependencies.memoryBytes, dependencies.maxDescriptors);
        this.metrics.registerGauge("caller_memory_bytes", "Memory that callers make this VM hold.", () => this.server.callerMemoryBytes);
        this.metrics.registerGauge("caller_memory_limit_bytes", "Limit of that memory.", () => this.callerLoad.budgetBytes);
        const { admissionPolicy } = this;
        if (admissionPolicy !== undefined) {
            this.metrics.registerGauge(
                "customers_over_share",
                "Customers over their fair share of the calls that this VM places, by tier and service.",
                () => admissionPolicy.countCustomersOver(scheduler.nowMs()),
            );
        }
        this.server = new RelayServer({
            ...dependencies.listen.caller,
            dialect: dependencies.dialect,
            scheduler,
            directory: this.state.directory,
            loadTracker: this.loadTracker,
            health: this.health,
            availability: this.availability,
            partGuard: this.partGuard,
            connections: this.connections,
            observer: this.metrics,
            onRefusal: refusal => {
                this.relayMetrics.recordRefusal(refusal);
            },
            onConnectionClosed: reason => {
                this.relayMetrics.recordClosedConnection(reason);
            },
            load: this.callerLoad,
            routeTable: () => this.state.routeTable,
            retryBudget: service => this.getRetryBudget(service),
            hedging: dependencies.hedgeShare > 0
                ? {
                    policy: new HedgePolicy(scheduler, dependencies.hedgeShare),
                    onHedge: result => {
                        this.relayMetrics.recordHedge(result);
                    },
                }
                : undefined,
            placeCall: request => this.placementExchange.place(request),
            onRunBegun: (customer, evidence) => {
                this.usage?.recordRun(customer, evidence);
            },
            hasAdmission: dependencies.admission,
        });
    }

    /** Opens all ports and starts all tasks, which end when `signal` aborts; the error names the port that could not be opened. */
    start(signal: AbortSignal): ResultAsync<void, string> {
        const { dependencies } = this;
        const probe = {
            readyPath: dependencies.readyPath,
            metricsPath: "/metrics",
            isReady: () => this.isReady,
            metrics: this.metrics,
            maxConnections: this.callerLoad.maxProbeConnections,
            onConnectionClosed: (reason: string) => {
                this.relayMetrics.recordClosedConnection(reason);
            },
        };
        return ResultAsync.combine([
            this.server.start(signal),
            startProbeServer({ ...dependencies.listen.probe, ...probe }, signal),
            startProbeServer({ ...dependencies.listen.metrics, ...probe }, signal),
        ]).map(() => {
            this.startTasks(signal);
        });
    }

    get isReady(): boolean {
        return !this.isStopping && this.state.isReady;
    }

    /** Stops accepting callers; resolves when every call has been answered or the grace period is nearly over. */
    async drain(): Promise<void> {
        const { scheduler, graceMs } = this.dependencies;
        const stopRequestedMs = scheduler.nowMs();
        this.isStopping = true;
        this.dutiesController.abort("draining");
        this.membership.updateLocalMember({ state: "draining" });
        const exitMs = stopRequestedMs + graceMs - graceMarginMs;
        this.server.disableKeepAlive(exitMs);
        log("stopping", { activeCalls: this.server.activeCalls });
        await sleepFor(scheduler, Math.min(acceptWhileStoppingMs, graceMs / 3));
        const drained = this.server.drain();
        await Promise.race([drained, sleepFor(scheduler, exitMs - lastAnswersMs - scheduler.nowMs())]);
        this.server.endUnfinishedCalls();
        await Promise.race([drained, sleepFor(scheduler, lastAnswersMs)]);
        log("stopped", { unfinishedCalls: this.server.activeCalls });
        this.usage?.flush();
        this.membership.leave();
        await sleepFor(scheduler, leaveMessageFlushMs);
    }

    private startTasks(signal: AbortSignal): void {
        const { dependencies, state } = this;
        const { scheduler, links } = dependencies;
        this.membership.start(signal);
        new LoadExchange({
            vm: dependencies.vm,
            loadTracker: this.loadTracker,
            links,
            membership: this.membership,
            scheduler,
            services: () => state.routeTable?.config.services.map(service => service.name) ?? [],
            serviceOf: id => state.directory.serviceOf(id),
        }).start(signal);
        this.placementExchange.start(signal);
        if (this.loadTracker.engineSpeeds !== undefined) {
            new EngineSpeedExchange({
                vm: dependencies.vm,
                engineSpeeds: this.loadTracker.engineSpeeds,
                links,
                membership: this.membership,
                scheduler,
                services: () => state.routeTable?.config.services.map(service => service.name) ?? [],
            }).start(signal);
        }
        this.partGuard.start(signal);
        const timing = computeFollowerTiming(dependencies.changeLimitMs);
        const forwarder = new ReadForwarder({
            vm: dependencies.vm,
            links,
            membership: this.membership,
            onRead: (from, stream, read) => {
                this.followers.get(stream)?.receiveFromPeer(from, read);
            },
        });
        const config = this.createFollower(
            forwarder,
            "config",
            dependencies.config.source,
            { waitMs: timing.configReadWaitMs, readPauseMs: 0, nextReadDueMs: () => undefined },
            (records, read) => state.applyConfigRecords(records, read),
        );
        const upstreams = this.createFollower(
            forwarder,
            "upstreams",
            dependencies.upstreams.source,
            {
                waitMs: 0,
                readPauseMs: timing.upstreamsReadPauseMs,
                nextReadDueMs: () => state.directory.lastReadDueMs,
            },
            (records, read) => state.applyUpstreamRecords(records, read),
        );
        forwarder.start(signal);
        this.snapshots.start(signal);
        void config.run(signal);
        void upstreams.run(signal);
        scheduler.every(latenessCheckIntervalMs, latenessMs => {
            this.relayMetrics.recordTimerLateness(latenessMs);
        }, signal);
        this.registryTask = new RegistryTask({
            vm: dependencies.vm,
            availabilityZone: dependencies.availabilityZone,
            peerUrl: dependencies.peerUrl,
            registry: dependencies.registry,
            membership: this.membership,
            scheduler,
            random: Math.random,
            onListed: vms => {
                this.registeredVms = vms;
            },
        });
        this.registryTask.start(signal);
        this.startDuties();
        signal.addEventListener("abort", () => {
            this.dutiesController.abort("stopped");
            this.stopController.abort();
            void this.connections.close();
        }, { once: true });
    }

    private startDuties(): void {
        const { vm, incarnation, scheduler, duties } = this.dependencies;
        if (duties === undefined) {
            return;
        }
        startDuties({
            vm,
            incarnation,
            scheduler,
            duties,
            metrics: this.metrics,
            // A VM that is not ready knows too little of the fleet to rank itself.
            rank: () => this.isReady ? computeDutyRank(fleetDuties, vm, this.membership.members) : Infinity,
            startUsage: context => {
                this.startUsage(context);
            },
            startScaling: (context, signal) => {
                this.startScaling(context, signal);
            },
        }, this.dutiesController.signal);
    }

    /** Runs that begin while this VM stops are still reported, so that the exchange outlives the lease. */
    private startUsage({ lease, api, duties: { usage } }: DutyContext): void {
        const { vm, incarnation, links, scheduler } = this.dependencies;
        this.usage = new UsageTask({
            vm,
            incarnation,
            links,
            membership: this.membership,
            scheduler,
            lease: toUsageLease(lease),
            api,
            metrics: this.metrics,
            random: Math.random,
            windowMs: usage.windowMs,
            lateMs: usage.lateMs,
            rankedVms: () => rankDutyVms(fleetDuties, this.membership.members, 2),
            fleetSize: () => this.fleetSize.vms,
        });
        this.usage.start(this.stopController.signal);
    }

    private startScaling({ lease, api }: DutyContext, signal: AbortSignal): void {
        const { state, loadTracker, membership, metrics } = this;
        const { vm, links, scheduler } = this.dependencies;
        const demand = new DemandExchange({
            vm,
            loadTracker,
            directory: state.directory,
            links,
            membership,
            fleetSize: () => this.fleetSize.vms,
        });
        demand.start(signal);
        new ScalingTask({
            holder: lease,
            api,
            scheduler,
            metrics: new ScalingMetrics(metrics),
            services: () => state.routeTable?.config.services ?? [],
            upstreams: () => state.isReady ? state.directory.upstreams : undefined,
            measureDemand: (service, demandSignal) => demand.measure(service, demandSignal),
        }).start(signal);
    }

    private createFollower(
        forwarder: ReadForwarder,
        name: "config" | "upstreams",
        source: KeyedLog,
        reads: Pick<FollowerOptions, "waitMs" | "readPauseMs" | "nextReadDueMs">,
        onRecords: FollowerOptions["onRecords"],
    ): KeyedLogFollower {
        const { relayMetrics } = this;
        const { scheduler, changeLimitMs } = this.dependencies;
        const { baseSilenceTimeoutMs, silenceTimeoutPerRankMs } = computeFollowerTiming(changeLimitMs);
        const monitor = new KeyedLogMonitor({
            name,
            nowMs: () => scheduler.nowMs(),
            logsRangesWithoutRecords: name === "config",
            onRead: result => {
                relayMetrics.recordRead(name, result);
            },
            onReceived: result => {
                relayMetrics.recordReceived(name, result);
            },
        });
        const follower = new KeyedLogFollower({
            name,
            source,
            scheduler,
            monitor,
            ...reads,
            startupDelayMs: followerStartupDelayMs,
            baseSilenceTimeoutMs,
            silenceTimeoutPerRankMs,
            snapshotWaitMs: this.snapshotWaitMs,
            requestSnapshot: (vm, signal) => this.snapshots.request(name, vm, signal),
            readerRank: () => this.readerRank,
            onRecords: (...read) => {
                const forwarded = onRecords(...read);
                this.announceReadiness();
                return forwarded;
            },
            onRead: (read, forwarded) => {
                const counts = forwarder.forward(name, { ...read, records: forwarded });
                relayMetrics.recordForwarded(name, counts);
                return counts.sent;
            },
            onRestored: () => {
                this.registryTask?.recordLoss();
            },
            onOutage: startedMs => {
                if (name === "upstreams") {
                    this.state.recordListOutage(startedMs);
                }
            },
            onReadable: startedMs => {
                if (name === "upstreams") {
                    this.state.recordListRead(startedMs);
                }
            },
        });
        this.followers.set(name, follower);
        relayMetrics.addStream({
            name,
            epoch: () => follower.epoch,
            nextOffset: () => follower.nextOffset,
            heardMsAgo: source => monitor.heardMsAgo(source),
        });
        return follower;
    }

    /**
     * A VM that others are told to join through reads the log at once. The others wait longer while the whole fleet starts for the first time,
     * which needs no haste, and differ in how long, so that not all of them read the log when no VM has its records.
     */
    private get snapshotWaitMs(): number {
        const { seeds, peerUrl, isFirstStart } = this.dependencies;
        const { minMs, maxMs } = isFirstStart ? snapshotWaits.firstStart : snapshotWaits.restart;
        return seeds.length === 0 || seeds.includes(peerUrl) ? 0 : minMs + Math.random() * (maxMs - minMs);
    }

    /** One VM reads the platform's log for the fleet, and the next in rank when it does not; the ranks follow from the membership view. */
    private get readerRank(): number {
        return computeDutyRank(logReaderDuty, this.dependencies.vm, this.membership.members);
    }

    private announceReadiness(): void {
        const self = this.membership.members.find(member => member.vm === this.dependencies.vm);
        if (self?.state === "starting" && this.isReady) {
            this.membership.updateLocalMember({ state: "ready" });
            log("ready", { configVersion: this.state.routeTable?.version, upstreams: this.state.directory.size });
        }
    }

    private placeLocally(request: PlacementRequest): Placement | PlacementRefusal | undefined {
        const placement = request.call.prompt === undefined ? this.plainPlacer.place(request) : this.enginePlacer.place(request);
        if (placement === undefined || request.admission === undefined || this.admissionPolicy === undefined) {
            return placement;
        }
        const decision = this.admissionPolicy.decide(request, placement, request.admission);
        if ("refusedFor" in decision) {
            this.relayMetrics.recordAdmissionRefusal(request.service, decision.refusedFor);
        }
        return decision;
    }

    private getRetryBudget(service: string): RetryBudget {
        let budget = this.retryBudgets.get(service);
        if (budget === undefined) {
            const { perCall, slack, windowMs } = this.dependencies.retryBudget;
            budget = new RetryBudget(this.dependencies.scheduler, {
                retriesPerRequest: perCall * retryBudgetShare,
                initialSavedRetries: 0,
                getShare: () => computeRetryShare(slack * retryBudgetShare, windowMs, this.fleetSize.vms),
            });
            this.retryBudgets.set(service, budget);
        }
        return budget;
    }
}
