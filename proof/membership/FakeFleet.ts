import type { MembershipSettings } from "../../src/core/membership/MembershipSettings.js";
import { MembershipTable } from "../../src/core/membership/MembershipTable.js";
import { VirtualScheduler } from "../../src/core/util/VirtualScheduler.js";
import type { MemberRecord } from "../../src/schema/peer/MemberRecord.js";
import type { PeerMessage } from "../../src/schema/peer/PeerMessage.js";

const tickMs = 100;
const dialPeriodMs = 1000;
/** Number of VMs that a VM dials at once while its view contains only the VM itself. */
const seedCount = 3;

/** One simulated VM. */
interface FakeVm {
    readonly vm: string;
    readonly availabilityZone: string;
    readonly table: MembershipTable;
    readonly stop: AbortController;
    pausedUntilMs: number;
    rotation: number;
}

interface FakeFleetOptions {
    readonly delayMs?: number;
    /** Called for each message sent, including messages that are lost. */
    readonly onSend?: (from: string, to: string, message: PeerMessage) => void;
    /** Replaces a message in transit; undefined drops it. */
    readonly transform?: (to: string, message: PeerMessage) => PeerMessage | undefined;
    readonly settings?: MembershipSettings;
}

/** Membership tables on a virtual clock, connected by simulated peer links that can be cut in each direction separately. */
export class FakeFleet {
    readonly scheduler = new VirtualScheduler();
    private readonly vms = new Map<string, FakeVm>();
    private readonly cuts = new Set<string>();
    private startCount = 0;

    constructor(private readonly options: FakeFleetOptions = {}) {}

    /** Starts a VM, which dials other VMs at once. A running VM with the same id crashes first. */
    start(vm: string, availabilityZone: string): void {
        this.crash(vm);
        const incarnation = String(++this.startCount).padStart(6, "0");
        const self: Omit<MemberRecord, "version" | "state" | "unreachableZones"> = {
            vm,
            incarnation,
            availabilityZone,
            region: "region",
            peerUrl: `ws://${vm}/peer`,
            processorShare: 1,
        };
        const { settings } = this.options;
        const send = (to: string, message: PeerMessage) => this.send(vm, to, message);
        const table = new MembershipTable({ self, send, ...(settings === undefined ? {} : { settings }) }, this.scheduler.nowMs());
        const started: FakeVm = { vm, availabilityZone, table, stop: new AbortController(), pausedUntilMs: 0, rotation: this.startCount };
        this.vms.set(vm, started);
        table.updateLocalMember({ state: "ready" });
        this.scheduler.every(tickMs, () => {
            if (!this.isPaused(started)) {
                table.tick(this.scheduler.nowMs());
            }
        }, started.stop.signal);
        this.scheduler.every(dialPeriodMs, () => {
            this.dialMissing(started);
        }, started.stop.signal);
        this.dialMissing(started);
    }

    crash(vm: string): void {
        this.vms.get(vm)?.stop.abort();
        this.vms.delete(vm);
    }

    leave(vm: string): void {
        this.vms.get(vm)?.table.leave();
        this.crash(vm);
    }

    /** Pauses a VM: it sends and processes nothing, and receives the queued messages when it resumes. */
    pause(vm: string, durationMs: number): void {
        const found = this.vms.get(vm);
        if (found !== undefined) {
            found.pausedUntilMs = Math.max(found.pausedUntilMs, this.scheduler.nowMs() + durationMs);
        }
    }

    /** Drops all messages from `from` to `to`. */
    cut(from: string, to: string): void {
        this.cuts.add(`${from}>${to}`);
    }

    /** Cuts all links between two sets of VMs in both directions. */
    cutBetween(left: readonly string[], right: readonly string[]): void {
        for (const one of left) {
            for (const other of right) {
                this.cut(one, other);
                this.cut(other, one);
            }
        }
    }

    heal(): void {
        this.cuts.clear();
    }

    advance(durationMs: number): void {
        this.scheduler.advance(durationMs);
    }

    get names(): string[] {
        return [...this.vms.keys()].sort();
    }

    namesIn(availabilityZone: string): string[] {
        return [...this.vms.values()].filter(vm => vm.availabilityZone === availabilityZone).map(vm => vm.vm).sort();
    }

    table(vm: string): MembershipTable {
        const found = this.vms.get(vm);
        if (found === undefined) {
            throw new Error(`VM ${vm} is not running`);
        }
        return found.table;
    }

    get hasCuts(): boolean {
        return this.cuts.size > 0;
    }

    /** Ids of the VMs in one VM's view. */
    view(vm: string): string[] {
        return this.table(vm).members.map(member => member.vm);
    }

    private isPaused(vm: FakeVm): boolean {
        return vm.pausedUntilMs > this.scheduler.nowMs();
    }

    private send(from: string, to: string, message: PeerMessage): boolean {
        this.options.onSend?.(from, to, message);
        const sender = this.vms.get(from);
        const target = this.vms.get(to);
        if (sender === undefined || target === undefined) {
            return false;
        }
        const transformed = this.options.transform === undefined ? message : this.options.transform(to, message);
        if (transformed !== undefined && !this.cuts.has(`${from}>${to}`)) {
            this.deliver(from, target, transformed, this.options.delayMs ?? 1);
        }
        return true;
    }

    private deliver(from: string, target: FakeVm, message: PeerMessage, delayMs: number): void {
        this.scheduler.after(delayMs, () => {
            if (this.isPaused(target)) {
                this.deliver(from, target, message, target.pausedUntilMs - this.scheduler.nowMs());
                return;
            }
            target.table.receive(from, message, this.scheduler.nowMs());
        }, target.stop.signal);
    }

    /**
     * Dials one VM that is missing from the view, or up to `seedCount` while the view contains only the VM itself. A link opens only if both
     * directions work.
     */
    private dialMissing(vm: FakeVm): void {
        if (this.isPaused(vm)) {
            return;
        }
        const view = new Set(this.view(vm.vm));
        const missing = this.names.filter(name => !view.has(name));
        const count = Math.min(view.size === 1 ? seedCount : 1, missing.length);
        for (let index = 0; index < count; index++) {
            const name = missing[vm.rotation++ % missing.length] as string;
            const other = this.vms.get(name);
            const isCut = this.cuts.has(`${vm.vm}>${name}`) || this.cuts.has(`${name}>${vm.vm}`);
            if (other !== undefined && !isCut && !this.isPaused(other)) {
                vm.table.handleLinkOpened(name, this.scheduler.nowMs());
                other.table.handleLinkOpened(vm.vm, this.scheduler.nowMs());
            }
        }
    }
}
