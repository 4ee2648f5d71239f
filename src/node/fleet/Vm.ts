import { randomUUID } from "node:crypto";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { selectByRendezvousHash } from "../../core/util/selectByRendezvousHash.js";
import type { Settings } from "../../schema/settings/Settings.js";
import { LogBookingService } from "../booking/LogBookingService.js";
import { CallerServer } from "../caller/CallerServer.js";
import { LogConfigService } from "../config/LogConfigService.js";
import { DispatchTask } from "../dispatch/DispatchTask.js";
import { EventRing } from "../explain/EventRing.js";
import { FleetChangeRecorder } from "../explain/FleetChangeRecorder.js";
import { FleetExplainer } from "../explain/FleetExplainer.js";
import { QuotaLimitService } from "../limits/QuotaLimitService.js";
import { createLogger } from "../logs/createLogger.js";
import { GossipMembership } from "../membership/GossipMembership.js";
import { InstrumentedPeerLinks } from "../metrics/InstrumentedPeerLinks.js";
import { Metrics } from "../metrics/Metrics.js";
import { OperatorServer } from "../operator/OperatorServer.js";
import { EngineOrderTask } from "../orders/EngineOrderTask.js";
import { HttpEngineOrderClient } from "../orders/HttpEngineOrderClient.js";
import type { WebSocketPeerLinks } from "../peer/WebSocketPeerLinks.js";
import { HttpLogClient } from "../platform/log/HttpLogClient.js";
import { HttpVmListClient } from "../platform/vmlist/HttpVmListClient.js";
import { VmListTask } from "../platform/vmlist/VmListTask.js";
import { WeightStoreTask } from "../platform/weights/WeightStoreTask.js";
import { FleetReporter } from "../report/FleetReporter.js";
import { IntervalPublisher } from "../report/IntervalPublisher.js";
import { ServiceLevelRecorder } from "../report/ServiceLevelRecorder.js";
import { canConnect } from "../upstream/canConnect.js";
import { HttpEngineClient } from "../upstream/HttpEngineClient.js";
import { HttpPlainClient } from "../upstream/HttpPlainClient.js";
import type { TlsCredentials } from "./TlsCredentials.js";
import type { VmSecrets } from "./VmSecrets.js";

const log = createLogger("vm");
const drainPollIntervalMs = 50;
const readinessPollIntervalMs = 50;
const reportFlushTimeoutMs = 2_000;
/** Wait between leaving the membership and closing the peer links, so that the last messages to peers are sent. */
const leaveFlushMs = 200;

interface VmOptions {
    readonly settings: Settings;
    readonly secrets: VmSecrets;
    readonly incarnation: string;
    readonly links: WebSocketPeerLinks;
    readonly peerUrl: string;
    readonly callerTls: TlsCredentials | undefined;
    readonly scheduler: Scheduler;
    readonly version: string;
}

/** Creates and connects all tasks of one VM. */
export class Vm {
    readonly membership: GossipMembership;
    readonly config: LogConfigService;
    readonly bookings: LogBookingService;
    readonly dispatch: DispatchTask;
    readonly limits: QuotaLimitService;
    private readonly orderClient = new HttpEngineOrderClient();
    private readonly weightStore: WeightStoreTask;
    private readonly orderTask: EngineOrderTask;
    readonly caller: CallerServer;
    readonly operator: OperatorServer;
    private readonly vmList: VmListTask;
    private readonly logClient: HttpLogClient;
    private readonly engineClient: HttpEngineClient;
    private readonly plainClient: HttpPlainClient;
    private readonly metrics = new Metrics();
    private readonly events: EventRing;
    private readonly peers: InstrumentedPeerLinks;
    private readonly explainer: FleetExplainer;
    private readonly changeRecorder: FleetChangeRecorder;
    private readonly serviceLevels: ServiceLevelRecorder;
    private readonly publisher: IntervalPublisher;
    private readonly reporter: FleetReporter;
    private isServing = false;

    constructor(private readonly options: VmOptions) {
        const { settings, scheduler } = options;
        this.events = new EventRing(settings.explain.ringBytes);
        this.peers = new InstrumentedPeerLinks(options.links, this.metrics);
        this.metrics.registerGauge(
            "control_sent_bytes",
            "Bytes sent to other VMs, after compression.",
            () => options.links.sentBytes,
        );
        this.metrics.registerGauge(
            "control_received_bytes",
            "Bytes received from other VMs, before decompression.",
            () => options.links.receivedBytes,
        );
        this.logClient = new HttpLogClient({
            url: settings.platform.log.url,
            availabilityZone: settings.vm.availabilityZone,
            scheduler,
            appendTimeoutMs: settings.timeouts.platformRequestMs,
        });
        this.vmList = new VmListTask({
            client: new HttpVmListClient(settings.platform.vmList.url, settings.timeouts.platformRequestMs),
            scheduler,
        });
        this.membership = this.createMembership();
        this.config = this.createConfig();
        this.bookings = this.createBookings();
        this.dispatch = this.createDispatch();
        this.limits = this.createLimits();
        this.weightStore = new WeightStoreTask(settings.platform.weightStore.url, scheduler, settings.timeouts.platformRequestMs);
        this.orderTask = this.createOrderTask();
        this.engineClient = new HttpEngineClient(scheduler, {
            headTimeoutMs: settings.timeouts.upstreamHeadMs,
            streamIdleTimeoutMs: settings.timeouts.upstreamGapMs,
        });
        this.plainClient = new HttpPlainClient(scheduler);
        const fleetOptions = this.createFleetOptions();
        this.serviceLevels = new ServiceLevelRecorder({ vm: settings.vm.id, config: this.config, events: this.events, scheduler });
        this.publisher = new IntervalPublisher({
            ...fleetOptions,
            recorder: this.serviceLevels,
            publishIntervalMs: settings.report.publishIntervalMs,
        });
        this.reporter = new FleetReporter({ ...fleetOptions, recorder: this.serviceLevels });
        this.explainer = new FleetExplainer({ ...fleetOptions, ring: this.events });
        this.changeRecorder = new FleetChangeRecorder({ ...fleetOptions, events: this.events });
        this.caller = this.createCaller();
        this.operator = this.createOperator();
    }

    /** Starts every task except the listeners for callers and operators. */
    startTasks(signal: AbortSignal): void {
        this.vmList.start(signal);
        this.membership.start(signal);
        this.config.onChange(view => {
            this.membership.updateLocalMember({ configOffset: view.offset });
        }, signal);
        this.vmList.onChange(leaving => {
            this.dispatch.setLeavingUpstreams(leaving);
        }, signal);
        this.dispatch.start(signal);
        this.limits.start(signal);
        this.orderClient.start(signal);
        this.weightStore.start(signal);
        this.orderTask.start(signal);
        this.engineClient.start(signal);
        this.plainClient.start(signal);
        this.serviceLevels.start(signal);
        this.publisher.start(signal);
        this.reporter.start(signal);
        this.explainer.start(signal);
        this.changeRecorder.start(signal);
        this.runTask("config", this.config.start(signal));
        this.runTask("booking", this.bookings.start(signal));
        this.options.scheduler.every(readinessPollIntervalMs, () => {
            this.announceReadiness();
        }, signal);
    }

    /** True once the configuration is loaded and callers are served. */
    isReady(): boolean {
        return this.isServing && this.config.isReady;
    }

    /** Marks the VM as serving; call it once the listeners are open. */
    markServing(): void {
        this.isServing = true;
        this.announceReadiness();
    }

    /** Resolves once every request and booking of this VM has ended and the VM has left the membership. Aborts none of them. */
    async drain(): Promise<void> {
        this.membership.updateLocalMember({ state: "draining" });
        this.dispatch.drain();
        this.caller.failReadinessProbe();
        await this.delay(this.options.settings.timeouts.drainNoticeMs);
        this.isServing = false;
        await this.caller.drain();
        while (this.bookings.unfinishedCount > 0) {
            await this.delay(drainPollIntervalMs);
        }
        await this.publisher.flush(AbortSignal.timeout(reportFlushTimeoutMs));
        this.membership.leave();
        await this.delay(leaveFlushMs);
    }

    private announceReadiness(): void {
        const self = this.membership.members.find(member => member.vm === this.options.settings.vm.id);
        if (self?.state === "starting" && this.isReady()) {
            this.membership.updateLocalMember({ state: "ready" });
            log("ready", { vm: self.vm, configOffset: this.config.view.offset });
        }
    }

    private createFleetOptions() {
        const { settings, incarnation, scheduler } = this.options;
        const { config, membership, logClient, peers } = this;
        return { vm: settings.vm.id, incarnation, config, membership, peers, log: logClient, scheduler };
    }

    private createMembership(): GossipMembership {
        const { settings, incarnation, peerUrl, links, scheduler } = this.options;
        const { id: vm, availabilityZone, region } = settings.vm;
        return new GossipMembership({
            self: { vm, incarnation, availabilityZone, region, peerUrl, processorShare: 1 },
            seeds: settings.peers.seeds,
            links,
            scheduler,
            listedVms: () => this.vmList.vms,
        });
    }

    private createConfig(): LogConfigService {
        const { settings, scheduler } = this.options;
        return new LogConfigService({
            log: this.logClient,
            scheduler,
            settings: settings.config,
            vm: settings.vm.id,
            membership: this.membership,
            links: this.peers,
            uniqueId: randomUUID,
        });
    }

    private createBookings(): LogBookingService {
        const { settings, incarnation, scheduler } = this.options;
        return new LogBookingService({
            log: this.logClient,
            scheduler,
            settings: settings.bookings,
            vm: settings.vm.id,
            incarnation,
            isAlive: (vm, other) => this.membership.members.some(member => member.vm === vm && member.incarnation === other),
        });
    }

    private createDispatch(): DispatchTask {
        const { settings, incarnation, scheduler } = this.options;
        return new DispatchTask({
            vm: settings.vm.id,
            incarnation,
            scheduler,
            random: Math.random,
            links: this.peers,
            config: this.config,
            membership: this.membership,
            recorder: this.events,
            canConnect,
        });
    }

    private createLimits(): QuotaLimitService {
        const { settings, links, scheduler } = this.options;
        const { membership } = this;
        return new QuotaLimitService({
            vm: settings.vm.id,
            membership,
            links,
            scheduler,
            findCustomer: name => this.config.view.customers.get(name),
        });
    }

    private createOrderTask(): EngineOrderTask {
        const { settings, incarnation, scheduler } = this.options;
        const { config, orderClient } = this;
        return new EngineOrderTask({
            vm: settings.vm.id,
            incarnation,
            log: this.logClient,
            scheduler,
            client: orderClient,
            config,
            isCandidate: () => this.isOrderCandidate(),
            maxLoading: () => this.weightStore.maxConcurrentLoads,
            isLeaving: upstreamId => this.vmList.isLeaving(upstreamId),
            uniqueId: randomUUID,
        });
    }

    private isOrderCandidate(): boolean {
        const readyVms = this.membership.members.filter(member => member.state === "ready").map(member => member.vm);
        return selectByRendezvousHash("orders", readyVms) === this.options.settings.vm.id;
    }

    private createCaller(): CallerServer {
        const { settings, scheduler } = this.options;
        const { host, port } = settings.listen.caller;
        return new CallerServer({
            vm: settings.vm.id,
            availabilityZone: settings.vm.availabilityZone,
            host,
            port,
            tls: this.options.callerTls,
            config: this.config,
            dispatch: this.dispatch,
            limits: this.limits,
            bookings: this.bookings,
            engines: this.engineClient,
            plain: this.plainClient,
            recorder: this.events,
            observer: {
                requestEnded: summary => {
                    this.metrics.requestEnded(summary);
                    this.serviceLevels.requestEnded(summary);
                },
            },
            scheduler,
            isReady: () => this.isReady(),
            createRequestId: randomUUID,
            callerLimits: {
                maxHeaderBytes: settings.limits.maxHeaderBytes,
                maxBufferedBodyBytes: settings.limits.maxBodyBytes,
                maxStreamedBodyBytes: settings.limits.maxStreamedBodyBytes,
                headersTimeoutMs: settings.timeouts.callerHeadersMs,
                requestTimeoutMs: settings.timeouts.callerBodyMs,
                plainIdleTimeoutMs: settings.timeouts.plainCallMs,
                callerStallTimeoutMs: settings.timeouts.callerStallMs,
            },
        });
    }

    private createOperator(): OperatorServer {
        const { settings, secrets, version } = this.options;
        return new OperatorServer({
            vm: settings.vm.id,
            availabilityZone: settings.vm.availabilityZone,
            version,
            token: secrets.operatorToken,
            config: this.config,
            membership: this.membership,
            report: this.reporter,
            explain: this.explainer,
            metrics: this.metrics,
            isReady: () => this.isReady(),
            scheduler: this.options.scheduler,
        });
    }

    private runTask(name: string, task: Promise<void>): void {
        task.catch((error: unknown) => {
            log("task failed and is not restarted", { task: name, reason: String(error) });
        });
    }

    private delay(durationMs: number): Promise<void> {
        return new Promise(resolve => {
            this.options.scheduler.after(durationMs, resolve, new AbortController().signal);
        });
    }
}
