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

/** Least time between two attempts to reach VMs that are not in the view. */
const greetPeriodMs = 1000;

interface GossipMembershipOptions {
    readonly self: Pick<Member, "vm" | "incarnation" | "availabilityZone" | "region" | "peerUrl">;
    /** Peer URLs from the settings. */
    readonly seeds: readonly string[];
    readonly links: MembershipLinks;
    readonly scheduler: Scheduler;
    /** VMs of the platform's list as last read; empty when it never was. */
    readonly listedVms?: () => VmList["vms"];
    readonly settings?: MembershipSettings;
    /** How many addresses a VM that is alone dials at once; by default all. */
    readonly maxDialsWhenAlone?: number;
}

/** Keeps the membership table going over peer links, and looks for VMs that are not in the view. */
export class GossipMembership implements MembershipService {
    private readonly table: MembershipTable;
    private readonly settings: MembershipSettings;
    private readonly listeners = new Set<(members: readonly Member[]) => void>();
    private publishedChanges = 0;
    /** VMs begin with different addresses, so that a fleet that starts does not dial the same seed. */
    private rotation: number;

    constructor(private readonly options: GossipMembershipOptions) {
        this.settings = options.settings ?? defaultMembershipSettings;
        this.rotation = fnv1a(options.self.vm) >>> 0;
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

    /** VMs that may be alive, also where they cannot be reached from here. */
    get possiblyAliveCount(): number {
        return this.table.possiblyAliveCount;
    }

    /** Takes part until `signal` aborts, and then tells the neighbours that this VM is gone. */
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
        scheduler.every(greetPeriodMs, () => {
            this.greetMissing();
        }, signal);
        this.greetMissing();
    }

    /** Tells the neighbours that this VM stops. To be called before the links close. */
    leave(): void {
        this.table.leave();
    }

    /** Sets what this VM tells of itself. A new state is announced at once. */
    setLocal(local: { readonly state?: Member["state"]; readonly configOffset?: number; }): void {
        this.table.updateLocalMember(local);
        this.publish();
    }

    onChange(listener: (members: readonly Member[]) => void, signal: AbortSignal): void {
        this.listeners.add(listener);
        signal.addEventListener("abort", () => this.listeners.delete(listener), { once: true });
    }

    private publish(): void {
        if (this.publishedChanges === this.table.changeCount) {
            return;
        }
        this.publishedChanges = this.table.changeCount;
        for (const [vm, url] of this.table.peerUrls) {
            this.options.links.setAddress(vm, url);
        }
        for (const listener of this.listeners) {
            listener(this.table.members);
        }
    }

    /** Dials one address after the other of those that no member has: seeds, the platform's list, and VMs that were lost. */
    private greetMissing(): void {
        const listed = this.options.listedVms?.() ?? [];
        this.table.setListedVms(listed.filter(vm => !vm.leaving).map(vm => vm.vm));
        const memberUrls = new Set(this.table.members.map(member => member.peerUrl));
        const addresses = this.table.peerUrls;
        const candidates = new Set([
            ...this.options.seeds,
            ...listed.filter(vm => !vm.leaving).map(vm => vm.peerUrl),
            ...this.table.unreachableVms.map(vm => addresses.get(vm) ?? ""),
        ]);
        const missing = [...candidates].filter(url => url !== "" && !memberUrls.has(url));
        const mostAtOnce = this.table.members.length === 1 ? this.options.maxDialsWhenAlone ?? missing.length : 1;
        const greetCount = Math.min(mostAtOnce, missing.length);
        for (let index = 0; index < greetCount; index++) {
            this.options.links.dialAddress(missing[this.rotation++ % missing.length] as string);
        }
    }
}
