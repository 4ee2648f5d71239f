import { defaultMembershipSettings } from "../../core/membership/defaultMembershipSettings.js";
import type { Member } from "../../core/membership/Member.js";
import type { MembershipSettings } from "../../core/membership/MembershipSettings.js";
import { MembershipTable } from "../../core/membership/MembershipTable.js";
import { fnv1a } from "../../core/util/fnv1a.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { VmList } from "../../schema/platform/VmList.js";
import { createLogger } from "../logs/createLogger.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { MembershipLinks } from "./MembershipLinks.js";

const log = createLogger("membership");

/** Time between attempts to reach VMs that are not members. */
const dialPeriodMs = 1000;

interface GossipMembershipOptions {
    readonly self: Pick<Member, "vm" | "incarnation" | "availabilityZone" | "region" | "peerUrl" | "processorShare">;
    /** Peer URLs of the seeds, from the settings. */
    readonly seeds: readonly string[];
    readonly links: MembershipLinks;
    readonly scheduler: Scheduler;
    /** Returns the VMs of the platform's list as last read; empty if it was never read. */
    readonly listedVms?: () => VmList["vms"];
    readonly settings?: MembershipSettings;
    /** Maximum number of addresses dialed at once while this VM is the only member; by default all. */
    readonly maxDialsWhenAlone?: number;
}

/** Runs the membership table over peer links, and dials VMs that are not members. */
export class GossipMembership implements MembershipService {
    private readonly table: MembershipTable;
    private readonly settings: MembershipSettings;
    private readonly listeners = new Set<(members: readonly Member[]) => void>();
    private publishedChangeCount = 0;
    /** Starts at a hash of the VM id, so that the VMs of a starting fleet do not all dial the same seed first. */
    private nextDialOffset: number;

    constructor(private readonly options: GossipMembershipOptions) {
        this.settings = options.settings ?? defaultMembershipSettings;
        this.nextDialOffset = fnv1a(options.self.vm) >>> 0;
        this.table = new MembershipTable({
            self: options.self,
            send: (vm, message) => options.links.send(vm, message),
            onEvent: ({ kind, subject }) => {
                log(kind, { subject });
            },
            settings: this.settings,
        }, options.scheduler.nowMs());
    }

    get members(): readonly Member[] {
        return this.table.members;
    }

    /** Number of VMs that may be alive: the members, and VMs that this VM cannot reach but that may still run. */
    get possiblyAliveCount(): number {
        return this.table.possiblyAliveCount;
    }

    /** Exchanges gossip until `signal` aborts. Does not announce that this VM leaves; call `leave` for that. */
    start(signal: AbortSignal): void {
        const { links, scheduler } = this.options;
        for (const type of ["heartbeat", "memberSync", "memberProbe", "memberVouch"] as const) {
            links.onMessage(type, (from, message) => {
                this.table.receive(from, message, scheduler.nowMs());
                this.publish();
                return undefined;
            }, signal);
        }
        links.onLinkOpened(vm => {
            this.table.handleLinkOpened(vm, scheduler.nowMs());
            this.publish();
        }, signal);
        scheduler.every(this.settings.tickMs, () => {
            this.table.tick(scheduler.nowMs());
            this.publish();
        }, signal);
        scheduler.every(dialPeriodMs, () => {
            this.dialMissingVms();
        }, signal);
        this.dialMissingVms();
    }

    /** Announces to the neighbours that this VM leaves. Must be called before the links close. */
    leave(): void {
        this.table.leave();
    }

    /** Updates this VM's own record. A new state is announced at once. */
    updateLocalMember(local: { readonly state?: Member["state"]; readonly configOffset?: number; }): void {
        this.table.updateLocalMember(local);
        this.publish();
    }

    onChange(listener: (members: readonly Member[]) => void, signal: AbortSignal): void {
        this.listeners.add(listener);
        signal.addEventListener("abort", () => this.listeners.delete(listener), { once: true });
    }

    private publish(): void {
        if (this.publishedChangeCount === this.table.changeCount) {
            return;
        }
        this.publishedChangeCount = this.table.changeCount;
        for (const [vm, url] of this.table.peerUrls) {
            this.options.links.setAddress(vm, url);
        }
        for (const listener of this.listeners) {
            listener(this.table.members);
        }
    }

    /**
     * Dials the next address that belongs to no member, round-robin over the seeds, the platform's list and the unreachable VMs. While
     * this VM is the only member, dials up to `maxDialsWhenAlone` of them.
     */
    private dialMissingVms(): void {
        const listedVms = this.options.listedVms?.() ?? [];
        this.table.setListedVms(listedVms.filter(vm => !vm.leaving).map(vm => vm.vm));
        const memberUrls = new Set(this.table.members.map(member => member.peerUrl));
        const peerUrls = this.table.peerUrls;
        const candidateUrls = new Set([
            ...this.options.seeds,
            ...listedVms.filter(vm => !vm.leaving).map(vm => vm.peerUrl),
            ...this.table.unreachableVms.map(vm => peerUrls.get(vm) ?? ""),
        ]);
        const missingUrls = [...candidateUrls].filter(url => url !== "" && !memberUrls.has(url));
        const maxDials = this.table.members.length === 1 ? this.options.maxDialsWhenAlone ?? missingUrls.length : 1;
        const dialCount = Math.min(maxDials, missingUrls.length);
        for (let index = 0; index < dialCount; index++) {
            this.options.links.dialAddress(missingUrls[this.nextDialOffset++ % missingUrls.length] as string);
        }
    }
}
