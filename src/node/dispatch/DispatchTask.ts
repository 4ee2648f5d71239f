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

const entryMessageTypes = ["ticketGrant", "ticketQueued", "ticketRefuse", "shardState", "grantPreempt"] as const;
const hostMessageTypes = [
    "ticketOffer",
    "ticketWithdraw",
    "shardProbe",
    "grantAdopt",
    "grantProgress",
    "grantKeepAlive",
    "grantEnd",
] as const;

/** What a `DispatchTask` needs. */
interface DispatchTaskOptions {
    readonly vm: string;
    readonly incarnation: string;
    readonly scheduler: Scheduler;
    /** Gives numbers in [0, 1). */
    readonly random: () => number;
    readonly links: PeerLinks;
    readonly config: ConfigService;
    readonly membership: MembershipService;
    readonly recorder: EventRecorder;
    /** Whether a connection to an upstream's URL opens. */
    readonly canConnect: (url: string, signal: AbortSignal) => Promise<boolean>;
}

/** Both sides of dispatch on one VM, joined to its peer links, configuration and membership. */
export class DispatchTask implements DispatchService {
    private readonly table: ShardTable;
    private readonly entry: DispatchClient;
    private readonly host: ShardHost;
    private readonly reach: ZoneReachability;
    private leaving: ReadonlySet<string> = new Set();
    private memberIncarnations = new Map<string, string>();

    constructor(private readonly options: DispatchTaskOptions) {
        const { vm, incarnation, scheduler, random, recorder } = options;
        const send = (to: string, message: PeerMessage) => this.send(to, message);
        this.table = new ShardTable(scheduler, random);
        this.entry = new DispatchClient(vm, scheduler, this.table, send);
        this.reach = new ZoneReachability(scheduler, options.canConnect, () => {
            this.refresh();
        });
        this.host = new ShardHost(vm, incarnation, scheduler, random, this.table, send, recorder);
    }

    start(signal: AbortSignal): void {
        const { links, config, membership } = this.options;
        for (const type of entryMessageTypes) {
            links.onMessage(type, (from, message) => {
                this.entry.handle(from, message);
                return undefined;
            }, signal);
        }
        for (const type of hostMessageTypes) {
            links.onMessage(type, (from, message) => {
                this.host.handle(from, message);
                return undefined;
            }, signal);
        }
        this.entry.start(signal);
        this.host.start(signal);
        this.reach.start(signal);
        config.onChange(() => {
            this.refresh();
        }, signal);
        membership.onChange(members => {
            this.noteMembers(members);
        }, signal);
        this.noteMembers(membership.members);
    }

    acquire(ticket: Ticket, signal: AbortSignal): ResultAsync<Grant, DispatchRefusal> {
        return this.entry.acquire(ticket, signal);
    }

    /** Marks upstreams that leave by the platform's list, beside those that leave by configuration. */
    setLeavingUpstreams(upstreamIds: ReadonlySet<string>): void {
        this.leaving = upstreamIds;
        this.refresh();
    }

    /** Stops dispatching for other VMs. */
    drain(): void {
        this.host.drain();
    }

    /** Queues and in-flight work of the shards dispatched here. */
    describe(): ReturnType<ShardHost["describe"]> {
        return this.host.describe();
    }

    private noteMembers(members: readonly Member[]): void {
        const incarnations = new Map(members.map(member => [member.vm, member.incarnation]));
        const gone: string[] = [];
        for (const [vm, incarnation] of this.memberIncarnations) {
            if (incarnations.get(vm) !== incarnation) {
                gone.push(vm);
            }
        }
        this.memberIncarnations = incarnations;
        this.refresh(gone);
    }

    private refresh(gone: readonly string[] = []): void {
        const { config, membership } = this.options;
        this.reach.update(config.view.pools.values(), membership.members);
        const { unreachableUpstreamZones: outOfReach } = this.reach;
        const getsNoWork = ({ id, availabilityZone }: Upstream) => this.leaving.has(id) || outOfReach.has(availabilityZone);
        this.table.update(config.view, membership.members, getsNoWork);
        this.host.update([...config.view.serviceClasses.values()], gone);
        this.entry.updateMembers(membership.members.map(member => member.vm));
    }

    private send(to: string, message: PeerMessage): boolean {
        if (to !== this.options.vm) {
            return this.options.links.send(to, message);
        }
        // Delivered after the present call, as it would be from a peer, so that no state is changed under a running method.
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
                this.host.handle(this.options.vm, message);
                break;
            default:
                this.entry.handle(this.options.vm, message);
                break;
        }
    }
}
