import type { MembershipSettings } from "../../src/core/membership/MembershipSettings.js";
import { MembershipTable } from "../../src/core/membership/MembershipTable.js";
import { VirtualScheduler } from "../../src/core/util/VirtualScheduler.js";
import type { MemberRecord } from "../../src/schema/peer/MemberRecord.js";
import type { PeerMessage } from "../../src/schema/peer/PeerMessage.js";

const tickMs = 100;
const greetMs = 1000;
/** VMs that one without any members dials at once. */
const seedCount = 3;

/** One VM of the fake fleet. */
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
    /** Called for each message that is handed to the network. */
    readonly onSend?: (from: string, to: string, message: PeerMessage) => void;
    /** Changes a message on its way; undefined loses it. */
    readonly transform?: (to: string, message: PeerMessage) => PeerMessage | undefined;
    readonly settings?: MembershipSettings;
}

/** Membership tables over a virtual clock, joined by a fake of the peer links whose directions can be cut one by one. */
export class FakeFleet {
    readonly scheduler = new VirtualScheduler();
    private readonly vms = new Map<string, FakeVm>();
    private readonly cuts = new Set<string>();
    private starts = 0;

    constructor(private readonly options: FakeFleetOptions = {}) {}

    /** Starts a VM, which greets all others; one that runs under the same id is gone without a word. */
    start(vm: string, availabilityZone: string): void {
        this.crash(vm);
        const incarnation = String(++this.starts).padStart(6, "0");
        const self: Omit<MemberRecord, "version" | "state" | "unreachableZones"> = {
            vm,
            incarnation,
            availabilityZone,
            region: "region",
            peerUrl: `ws://${vm}/peer`,
        };
        const { settings } = this.options;
        const send = (to: string, message: PeerMessage) => this.send(vm, to, message);
        const table = new MembershipTable({ self, send, ...(settings === undefined ? {} : { settings }) }, this.scheduler.nowMs());
        const started: FakeVm = { vm, availabilityZone, table, stop: new AbortController(), pausedUntilMs: 0, rotation: this.starts };
        this.vms.set(vm, started);
        table.updateLocalMember({ state: "ready" });
        this.scheduler.every(tickMs, () => {
            if (!this.isPaused(started)) {
                table.tick(this.scheduler.nowMs());
            }
        }, started.stop.signal);
        this.scheduler.every(greetMs, () => {
            this.greet(started);
        }, started.stop.signal);
        this.greet(started);
    }

    crash(vm: string): void {
        this.vms.get(vm)?.stop.abort();
        this.vms.delete(vm);
    }

    leave(vm: string): void {
        this.vms.get(vm)?.table.leave();
        this.crash(vm);
    }

    /** The VM stands still: it neither sends nor reads, and reads what has come in once it goes on. */
    pause(vm: string, durationMs: number): void {
        const found = this.vms.get(vm);
        if (found !== undefined) {
            found.pausedUntilMs = Math.max(found.pausedUntilMs, this.scheduler.nowMs() + durationMs);
        }
    }

    /** Loses what `from` sends to `to`. */
    cut(from: string, to: string): void {
        this.cuts.add(`${from}>${to}`);
    }

    /** Cuts all links between two sets of VMs, both ways. */
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
            throw new Error(`VM ${vm} does not run`);
        }
        return found.table;
    }

    get hasCuts(): boolean {
        return this.cuts.size > 0;
    }

    /** Ids of the VMs in the view of one VM. */
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
        const passed = this.options.transform === undefined ? message : this.options.transform(to, message);
        if (passed !== undefined && !this.cuts.has(`${from}>${to}`)) {
            this.deliver(from, target, passed, this.options.delayMs ?? 1);
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

    /** Dials a VM that is not in the view, or some when there is none yet; the link opens when both directions work. */
    private greet(vm: FakeVm): void {
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
