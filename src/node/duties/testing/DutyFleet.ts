import { VirtualScheduler } from "../../../core/util/VirtualScheduler.js";
import { DutyLease } from "../DutyLease.js";
import { FakeDutyLog } from "./FakeDutyLog.js";
import { VmClock } from "./VmClock.js";

interface Call {
    readonly vm: string;
    readonly fencingNumber: number;
    readonly arrivedMs: number;
}

interface DutyFleetOptions {
    readonly vmCount: number;
    readonly leaseMs: number;
    readonly latencyMs: () => number;
}

const startWallMs = 1_700_000_000_000;
const callIntervalMs = 50;
const failureDetectionMs = 2_600;

/** VMs on virtual time that call the platform's API whenever they hold the lease, with the calls that reach it and the rules they broke. */
export class DutyFleet {
    readonly time = new VirtualScheduler(startWallMs);
    readonly log: FakeDutyLog;
    readonly calls: Call[] = [];
    readonly violations: string[] = [];
    private readonly vms = new Map<string, ReturnType<DutyFleet["createVm"]>>();
    /** VMs in order of rank; a VM leaves the list some time after it was killed. */
    private ranking: string[] = [];
    private nonceCount = 0;
    private incarnationCount = 0;

    constructor(private readonly options: DutyFleetOptions) {
        this.log = new FakeDutyLog(this.time, options.latencyMs);
        for (let index = 0; index < options.vmCount; index++) {
            this.start(`vm${index}`);
        }
    }

    /** Starts a VM, or starts it anew after `kill`. */
    start(name: string): void {
        if (!this.ranking.includes(name)) {
            this.ranking.push(name);
        }
        this.vms.set(name, this.createVm(name));
    }

    get(name: string): ReturnType<DutyFleet["createVm"]> {
        const vm = this.vms.get(name);
        if (vm === undefined) {
            throw new Error(`no VM ${name}`);
        }
        return vm;
    }

    /** Ends a VM without a release; the others notice after a while. */
    kill(name: string): void {
        const vm = this.get(name);
        vm.clock.suspend();
        this.time.after(failureDetectionMs, () => {
            if (this.get(name) === vm) {
                this.ranking = this.ranking.filter(other => other !== name);
            }
        }, new AbortController().signal);
    }

    get holders(): string[] {
        return [...this.vms].filter(([, vm]) => !vm.clock.isSuspended && vm.lease.getHeld() !== undefined).map(([name]) => name);
    }

    async run(durationMs: number): Promise<void> {
        const endMs = this.time.nowMs() + durationMs;
        while (this.time.nowMs() < endMs) {
            await this.time.advanceAsync(Math.min(callIntervalMs, endMs - this.time.nowMs()));
            if (this.holders.length > 1) {
                this.violations.push(`${this.time.nowMs()}: held by ${this.holders.join(" and ")}`);
            }
        }
    }

    private createVm(name: string) {
        const clock = new VmClock(this.time);
        const link = this.log.createLink();
        const controller = new AbortController();
        const vm = { clock, link, controller, rank: () => this.ranking.indexOf(name) };
        const lease = new DutyLease({
            vm: name,
            incarnation: String(this.incarnationCount++),
            store: this.log.connect(link, clock),
            leaseMs: this.options.leaseMs,
            scheduler: clock,
            rank: () => {
                const rank = vm.rank();
                return rank < 0 ? Infinity : rank;
            },
            uniqueId: () => String(this.nonceCount++),
        });
        lease.start(controller.signal);
        clock.every(callIntervalMs, () => {
            const held = lease.getHeld();
            if (held !== undefined) {
                const { fencingNumber, signal } = held;
                // A call that is given up before it arrives is reset.
                this.time.after(this.options.latencyMs(), () => {
                    this.recordCall({ vm: name, fencingNumber, arrivedMs: this.time.nowMs() });
                }, signal);
            }
        }, controller.signal);
        return Object.assign(vm, { lease });
    }

    private recordCall(call: Call): void {
        const last = this.calls.at(-1);
        if (last !== undefined && call.fencingNumber < last.fencingNumber) {
            this.violations.push(
                `${call.arrivedMs}: fencing number ${call.fencingNumber} of ${call.vm} after ${last.fencingNumber} of ${last.vm}`,
            );
        }
        if (last !== undefined && call.fencingNumber === last.fencingNumber && call.vm !== last.vm) {
            this.violations.push(`${call.arrivedMs}: fencing number ${call.fencingNumber} of ${call.vm} and ${last.vm}`);
        }
        if (last !== undefined && call.vm !== last.vm) {
            const own = this.calls.findLast(other => other.vm === call.vm);
            if (own !== undefined && call.arrivedMs - own.arrivedMs < this.options.leaseMs) {
                this.violations.push(
                    `${call.arrivedMs}: ${call.vm} again ${call.arrivedMs - own.arrivedMs} ms after it, with ${last.vm} between`,
                );
            }
        }
        this.calls.push(call);
    }
}
