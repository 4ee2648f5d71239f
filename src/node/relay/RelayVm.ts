import { ResultAsync } from "neverthrow";
import { defaultMembershipSettings } from "../../core/membership/defaultMembershipSettings.js";
import { EnginePlacer } from "../../core/relay/EnginePlacer.js";
import type { Placement } from "../../core/relay/Placement.js";
import type { PlacementRequest } from "../../core/relay/PlacementRequest.js";
import { PlainPlacer } from "../../core/relay/PlainPlacer.js";
import { UpstreamHealth } from "../../core/relay/UpstreamHealth.js";
import { UpstreamLoadTracker } from "../../core/relay/UpstreamLoadTracker.js";
import { RetryBudget } from "../../core/retry/RetryBudget.js";
import { computeRendezvousRank } from "../../core/util/computeRendezvousRank.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { VmList } from "../../schema/platform/VmList.js";
import { sleepFor } from "../config/sleepFor.js";
import { createLogger } from "../logs/createLogger.js";
import { GossipMembership } from "../membership/GossipMembership.js";
import { Metrics } from "../metrics/Metrics.js";
import type { WebSocketPeerLinks } from "../peer/WebSocketPeerLinks.js";
import type { KeyedLog } from "../services/KeyedLog.js";
import type { KeyedRecord } from "../services/KeyedRecord.js";
import { UpstreamConnections } from "../upstream/UpstreamConnections.js";
import { KeyedLogFollower } from "./KeyedLogFollower.js";
import { LoadExchange } from "./LoadExchange.js";
import { PlacementExchange } from "./PlacementExchange.js";
import { RelayServer } from "./RelayServer.js";
import { RelayState } from "./RelayState.js";
import type { RelayVmOptions } from "./RelayVmOptions.js";
import { startProbeServer } from "./startProbeServer.js";

const log = createLogger("vm");

/** Upstreams lie within a few milliseconds; one that does not take a connection by then is down or cut off. */
const connectTimeoutMs = 300;
/** Idle connections to upstreams are closed after this, before upstreams or faults on the way close them unnoticed. */
const keepAliveMs = 4_000;
/**
 * Longest wait of a read for changes. The VM that reads is heard by the others this often, so that one that falls silent is replaced
 * within the two seconds that a change of the configuration may take.
 */
const configWaitMs = 500;
/** Upstreams write to the list all the time; a change of one is to be known within two seconds. */
const upstreamsRestMs = 600;
/** A VM that starts goes this long without changes that no other VM tells it; less than the three seconds in which it need not keep up. */
const followSettleMs = 1_500;
/**
 * Membership picks the VMs that read and place for others. Both duties also pass on when a VM falls silent, so that it may take its time: each
 * heartbeat and tick wakes a small VM up. Neighbours are chosen again at most once a second, as all VMs of a fleet may start at once.
 */
const membershipPace = {
    tickMs: 200,
    heartbeatIntervalMs: 800,
    suspectAfterMs: 1_600,
    goneAfterMs: 2_600,
    probeIntervalMs: 400,
    maxTrustedTombstoneAgeMs: 2_000,
    minNeighbourSelectionIntervalMs: 1_000,
};
const expirePeriodMs = 200;
/** How long a VM that stops still takes calls: the platform stops sending callers after two probes, a second apart. */
const leaveMs = 2_800;
/** Lets last bytes leave before the process is killed. */
const graceMarginMs = 300;
const farewellMs = 50;
/** A VM alone for this long looks for others in the registry on the platform. */
const aloneCheckMs = 3_000;
/** Names the duty of reading the platform's log in the choice of the VM that has it. */
const readerDuty = "log-reader";
/** Share of the retry budget that VMs may use; the rest covers uneven traffic among them. */
const budgetShare = 0.7;

interface RelayVmParts extends RelayVmOptions {
    readonly scheduler: Scheduler;
    readonly links: WebSocketPeerLinks;
    readonly incarnation: string;
    readonly peerUrl: string;
}

/** All tasks of one VM that relays calls. */
export class RelayVm {
    private readonly metrics = new Metrics();
    private readonly board = new UpstreamLoadTracker();
    private readonly health = new UpstreamHealth();
    private readonly connections = new UpstreamConnections({ connectTimeoutMs, keepAliveMs });
    private readonly budgets = new Map<string, RetryBudget>();
    private readonly membership: GossipMembership;
    private readonly state: RelayState;
    private readonly server: RelayServer;
    private readonly engines: EnginePlacer;
    private readonly plain: PlainPlacer;
    private readonly placing: PlacementExchange;
    private listedVms: VmList["vms"] = [];
    private isLeaving = false;

    constructor(private readonly parts: RelayVmParts) {
        const { vm, availabilityZone, region, incarnation, peerUrl, links, scheduler, seeds } = parts;
        this.membership = new GossipMembership({
            self: { vm, incarnation, availabilityZone, region, peerUrl },
            seeds,
            links,
            scheduler,
            listedVms: () => this.listedVms,
            settings: { ...defaultMembershipSettings, ...membershipPace },
            maxDialsWhenAlone: 1,
        });
        this.state = new RelayState({
            config: parts.config,
            upstreams: parts.upstreams,
            scheduler,
            onConfig: table => {
                this.server.setLimits(table.config.limits);
            },
            onUpstreamRemoved: id => {
                this.board.removeUpstream(id);
            },
        });
        this.engines = new EnginePlacer(this.board, Math.random);
        this.plain = new PlainPlacer(this.board, availabilityZone, Math.random);
        this.placing = new PlacementExchange({
            vm,
            loadTracker: this.board,
            directory: this.state.directory,
            links,
            membership: this.membership,
            scheduler,
            placeLocally: request => this.placeHere(request),
        });
        this.server = new RelayServer({
            ...parts.listen.caller,
            dialect: parts.dialect,
            scheduler,
            directory: this.state.directory,
            loadTracker: this.board,
            health: this.health,
            connections: this.connections,
            observer: this.metrics,
            routeTable: () => this.state.routeTable,
            retryBudget: service => this.budgetOf(service),
            place: request => this.placing.place(request),
        });
    }

    /** Opens all ports and starts all tasks; released when `signal` aborts. */
    start(signal: AbortSignal): ResultAsync<void, string> {
        const { parts } = this;
        const probe = { readyPath: parts.readyPath, metricsPath: "/metrics", isReady: () => this.isReady, metrics: this.metrics };
        return ResultAsync.combine([
            this.server.start(signal),
            startProbeServer({ ...parts.listen.probe, ...probe }, signal),
            startProbeServer({ ...parts.listen.metrics, ...probe }, signal),
        ]).map(() => {
            this.startTasks(signal);
        });
    }

    get isReady(): boolean {
        return !this.isLeaving && this.state.isReady;
    }

    /** Stops taking callers, and resolves when every call has been answered or the time of grace is nearly over. */
    async drain(): Promise<void> {
        const { scheduler, graceMs } = this.parts;
        const stoppedMs = scheduler.nowMs();
        this.isLeaving = true;
        this.membership.setLocal({ state: "draining" });
        this.server.disableKeepAlive();
        log("stopping", { activeCalls: this.server.activeCalls });
        await sleepFor(scheduler, Math.min(leaveMs, graceMs / 3));
        const leftMs = graceMs - graceMarginMs - (scheduler.nowMs() - stoppedMs);
        await Promise.race([this.server.drain(), sleepFor(scheduler, leftMs)]);
        log("stopped", { unfinishedCalls: this.server.activeCalls });
        this.membership.leave();
        await sleepFor(scheduler, farewellMs);
    }

    private startTasks(signal: AbortSignal): void {
        const { parts, state } = this;
        const { scheduler, links } = parts;
        this.membership.start(signal);
        new LoadExchange({
            vm: parts.vm,
            loadTracker: this.board,
            links,
            membership: this.membership,
            scheduler,
            services: () => state.routeTable?.config.services.map(service => service.name) ?? [],
            serviceOf: id => state.directory.serviceOf(id),
        }).start(signal);
        this.placing.start(signal);
        const config = this.follow("config", parts.config.source, configWaitMs, 0, records => state.applyConfigRecords(records));
        const upstreams = this.follow(
            "upstreams",
            parts.upstreams.source,
            0,
            upstreamsRestMs,
            (records, isWhole) => state.applyUpstreamRecords(records, isWhole),
        );
        links.onMessage("keyedRecords", (from, { stream, fromOffset, records, nextOffset }) => {
            const heard = records.map(({ offset, key, value }) => ({ offset, key, value }));
            (stream === "config" ? config : upstreams).receiveFromPeer(from, { fromOffset, records: heard, nextOffset });
            return undefined;
        }, signal);
        void config.run(signal);
        void upstreams.run(signal);
        scheduler.every(expirePeriodMs, () => {
            state.removeExpiredUpstreams();
        }, signal);
        this.startRegistry(signal);
        signal.addEventListener("abort", () => {
            void this.connections.close();
        }, { once: true });
    }

    private follow(
        name: "config" | "upstreams",
        source: KeyedLog,
        waitMs: number,
        restMs: number,
        onRecords: (records: readonly KeyedRecord[], isWhole: boolean) => readonly KeyedRecord[],
    ): KeyedLogFollower {
        return new KeyedLogFollower({
            name,
            source,
            scheduler: this.parts.scheduler,
            waitMs,
            readPauseMs: restMs,
            startupDelayMs: followSettleMs,
            readerRank: () => this.readerRank,
            onRecords: (records, isWhole) => {
                const news = onRecords(records, isWhole);
                this.announceReadiness();
                return news;
            },
            onRead: (read, news) => {
                this.tellAll({ type: "keyedRecords", stream: name, ...read, records: [...news] });
            },
            onReachabilityChange: isReached => {
                if (!isReached && name === "upstreams") {
                    this.state.recordListOutage();
                }
            },
        });
    }

    /** One VM reads the platform's log for all, the next ones when it does not; their order follows from who is in the view. */
    private get readerRank(): number {
        const ready = this.membership.members.filter(member => member.state === "ready").map(member => member.vm);
        return computeRendezvousRank(readerDuty, this.parts.vm, ready);
    }

    private tellAll(message: PeerMessage): void {
        for (const { vm } of this.membership.members) {
            if (vm !== this.parts.vm) {
                this.parts.links.send(vm, message);
            }
        }
    }

    /** Leaves this VM's address on the platform, and looks there for others when no seed answers. */
    private startRegistry(signal: AbortSignal): void {
        const { registry, vm, availabilityZone, peerUrl, scheduler } = this.parts;
        let isAnnounced = false;
        const announce = async () => {
            const announced = await registry.announce({ vm, availabilityZone, peerUrl, leaving: false }, signal);
            isAnnounced = announced.isOk();
            if (announced.isErr()) {
                log("address is not in the registry yet", { reason: announced.error.message });
            }
        };
        const check = async () => {
            if (!isAnnounced) {
                await announce();
            }
            if (this.membership.members.length === 1) {
                const listed = await registry.list(signal);
                this.listedVms = listed.unwrapOr([]).filter(other => other.vm !== vm);
                log("alone; looked into the registry", {
                    found: this.listedVms.length,
                    reason: listed.isErr() ? listed.error.message : undefined,
                });
            }
        };
        scheduler.after(aloneCheckMs / 10, () => void announce(), signal);
        scheduler.every(aloneCheckMs, () => void check(), signal);
    }

    private announceReadiness(): void {
        const self = this.membership.members.find(member => member.vm === this.parts.vm);
        if (self?.state === "starting" && this.isReady) {
            this.membership.setLocal({ state: "ready" });
            log("ready", { configVersion: this.state.routeTable?.version, upstreams: this.state.directory.size });
        }
    }

    private placeHere(request: PlacementRequest): Placement | undefined {
        return request.call.prompt === undefined ? this.plain.place(request) : this.engines.place(request);
    }

    private budgetOf(service: string): RetryBudget {
        let budget = this.budgets.get(service);
        if (budget === undefined) {
            const { perCall, slack, windowMs } = this.parts.retries;
            const vms = Math.max(1, this.membership.members.length);
            budget = new RetryBudget(this.parts.scheduler, {
                retriesPerRequest: perCall * budgetShare,
                minRetriesPerSecond: slack * budgetShare / 2 / vms / (windowMs / 1_000),
                maxSavedRetries: Math.max(1, slack * budgetShare / 2 / vms),
            });
            this.budgets.set(service, budget);
        }
        return budget;
    }
}
