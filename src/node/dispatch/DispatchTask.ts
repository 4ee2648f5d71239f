import type { ResultAsync } from "neverthrow";
import type { Member } from "../../core/membership/Member.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { Ticket } from "../../schema/peer/Ticket.js";
import type { ConfigService } from "../services/ConfigService.js";
import type { DispatchRefusal } from "../services/DispatchRefusal.js";
import type { DispatchService } from "../services/DispatchService.js";
import type { EventRecorder } from "../services/EventRecorder.js";
import type { Grant } from "../services/Grant.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";
import { DispatchClient } from "./DispatchClient.js";
import { ShardHost } from "./ShardHost.js";
import { ShardTable } from "./ShardTable.js";
import { ZoneReachability } from "./ZoneReachability.js";

const clientMessageTypes = ["ticketGrant", "ticketQueued", "ticketRefuse", "shardState", "grantPreempt"] as const;
const hostMessageTypes = [
    "ticketOffer",
    "ticketWithdraw",
    "shardProbe",
    "grantAdopt",
    "grantProgress",
    "grantKeepAlive",
    "grantEnd",
] as const;

interface DispatchTaskOptions {
    readonly vm: string;
    readonly incarnation: string;
    readonly scheduler: Scheduler;
    /** Returns numbers in [0, 1). */
    readonly random: () => number;
    readonly links: PeerLinks;
    readonly config: ConfigService;
    readonly membership: MembershipService;
    readonly recorder: EventRecorder;
    /** Resolves to whether a connection to an upstream's URL opens. */
    readonly canConnect: (url: string, signal: AbortSignal) => Promise<boolean>;
}

/** Connects the dispatch client and the shard host of one VM to its peer links, configuration and membership. */
export class DispatchTask implements DispatchService {
    private readonly shardTable: ShardTable;
    private readonly dispatchClient: DispatchClient;
    private readonly shardHost: ShardHost;
    private readonly zoneReachability: ZoneReachability;
    private leavingUpstreamIds: ReadonlySet<string> = new Set();
    private memberIncarnations = new Map<string, string>();

    constructor(private readonly options: DispatchTaskOptions) {
        const { vm, incarnation, scheduler, random, recorder } = options;
        const send = (to: string, message: PeerMessage) => this.send(to, message);
        this.shardTable = new ShardTable(scheduler, random);
        this.dispatchClient = new DispatchClient(vm, scheduler, this.shardTable, send);
        this.zoneReachability = new ZoneReachability(scheduler, options.canConnect, () => {
            this.refresh();
        });
        this.shardHost = new ShardHost(vm, incarnation, scheduler, random, this.shardTable, send, recorder);
    }

    start(signal: AbortSignal): void {
        const { links, config, membership } = this.options;
        for (const type of clientMessageTypes) {
            links.onMessage(type, (from, message) => {
                this.dispatchClient.handle(from, message);
                return undefined;
            }, signal);
        }
        for (const type of hostMessageTypes) {
            links.onMessage(type, (from, message) => {
                this.shardHost.handle(from, message);
                return undefined;
            }, signal);
        }
        this.dispatchClient.start(signal);
        this.shardHost.start(signal);
        this.zoneReachability.start(signal);
        config.onChange(() => {
            this.refresh();
        }, signal);
        membership.onChange(members => {
            this.updateMembers(members);
        }, signal);
        this.updateMembers(membership.members);
    }

    acquire(ticket: Ticket, signal: AbortSignal): ResultAsync<Grant, DispatchRefusal> {
        return this.dispatchClient.acquire(ticket, signal);
    }

    /** Sets the upstreams that the platform's list marks as leaving, in addition to those marked in the configuration. */
    setLeavingUpstreams(upstreamIds: ReadonlySet<string>): void {
        this.leavingUpstreamIds = upstreamIds;
        this.refresh();
    }

    /** Refuses new tickets from other VMs from now on. */
    drain(): void {
        this.shardHost.drain();
    }

    /** Queue length of each shard dispatched on this VM and its in-flight requests per upstream. */
    describe(): ReturnType<ShardHost["listShards"]> {
        return this.shardHost.listShards();
    }

    private updateMembers(members: readonly Member[]): void {
        const incarnations = new Map(members.map(member => [member.vm, member.incarnation]));
        const departedVms: string[] = [];
        for (const [vm, incarnation] of this.memberIncarnations) {
            if (incarnations.get(vm) !== incarnation) {
                departedVms.push(vm);
            }
        }
        this.memberIncarnations = incarnations;
        this.refresh(departedVms);
    }

    private refresh(departedVms: readonly string[] = []): void {
        const { config, membership } = this.options;
        this.zoneReachability.update(config.view.pools.values(), membership.members);
        const { unreachableUpstreamZones: unreachableZones } = this.zoneReachability;
        const isOutOfService = ({ id, availabilityZone }: Upstream) =>
            this.leavingUpstreamIds.has(id) || unreachableZones.has(availabilityZone);
        this.shardTable.update(config.view, membership.members, isOutOfService);
        this.shardHost.update([...config.view.serviceClasses.values()], departedVms);
        this.dispatchClient.updateMembers(membership.members.map(member => member.vm));
    }

    private send(to: string, message: PeerMessage): boolean {
        if (to !== this.options.vm) {
            return this.options.links.send(to, message);
        }
        // Delivered asynchronously, like a message from a peer, so that no handler changes state while another method is running.
        queueMicrotask(() => {
            this.deliverLocally(message);
        });
        return true;
    }

    private deliverLocally(message: PeerMessage): void {
        switch (message.type) {
            case "ticketOffer":
            case "ticketWithdraw":
            case "shardProbe":
            case "grantAdopt":
            case "grantProgress":
            case "grantKeepAlive":
            case "grantEnd":
                this.shardHost.handle(this.options.vm, message);
                break;
            default:
                this.dispatchClient.handle(this.options.vm, message);
                break;
        }
    }
}
