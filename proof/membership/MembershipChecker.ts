import type { FakeFleet } from "./FakeFleet.js";

/** Time without cuts after which every VM must see all running VMs. */
const convergenceMs = 8000;
/** Time after a crash by which no view may contain the crashed VM. */
const detectionMs = 5000;

interface Run {
    readonly startedMs: number;
    readonly run: number;
}

/**
 * Checks the views of a fake fleet while a schedule of faults runs. It derives which VMs run, and since when, from the schedule alone, and
 * reports the first view that violates an invariant.
 */
export class MembershipChecker {
    private readonly running = new Map<string, Run>();
    private readonly crashedMs = new Map<string, number>();
    /** Newest incarnation of each VM that each run of a VM has seen. */
    private readonly seen = new Map<string, string>();
    private lastCutMs = -Infinity;
    private runs = 0;

    constructor(private readonly fleet: FakeFleet) {}

    started(vm: string): void {
        this.running.set(vm, { startedMs: this.nowMs, run: ++this.runs });
        this.crashedMs.delete(vm);
    }

    crashed(vm: string): void {
        this.running.delete(vm);
        this.crashedMs.set(vm, this.nowMs);
    }

    /** Checks all views; returns the first violation, or undefined if every invariant holds. */
    check(): string | undefined {
        if (this.fleet.hasCuts) {
            this.lastCutMs = this.nowMs;
        }
        for (const [vm, run] of this.running) {
            const violation = this.checkIncarnations(vm, run) ?? this.checkPresence(vm, run) ?? this.checkAbsence(vm, run);
            if (violation !== undefined) {
                return `at ${this.nowMs} ms: ${violation}`;
            }
        }
        return undefined;
    }

    private get nowMs(): number {
        return this.fleet.scheduler.nowMs();
    }

    private isSettled(sinceMs: number, boundMs: number): boolean {
        return this.nowMs - Math.max(this.lastCutMs, sinceMs) >= boundMs;
    }

    /** No VM replaces a newer incarnation of another VM by an older one. */
    private checkIncarnations(vm: string, run: Run): string | undefined {
        for (const member of this.fleet.table(vm).members) {
            const key = `${run.run} ${member.vm}`;
            const newest = this.seen.get(key) ?? "";
            if (member.incarnation < newest) {
                return `incarnation: ${vm} went back from incarnation ${newest} to ${member.incarnation} of ${member.vm}`;
            }
            this.seen.set(key, member.incarnation);
        }
        return undefined;
    }

    /** Once no link has been cut for `convergenceMs`, VMs that have run that long are in each other's views. */
    private checkPresence(vm: string, run: Run): string | undefined {
        const view = new Set(this.fleet.view(vm));
        for (const [other, otherRun] of this.running) {
            const sinceMs = Math.max(run.startedMs, otherRun.startedMs);
            if (this.isSettled(sinceMs, convergenceMs) && !view.has(other)) {
                return `presence: ${vm} does not see ${other}, which is running`;
            }
        }
        return undefined;
    }

    /** Once no link has been cut for `detectionMs`, a VM that crashed that long ago is in no view. */
    private checkAbsence(vm: string, run: Run): string | undefined {
        const view = new Set(this.fleet.view(vm));
        for (const [other, crashedMs] of this.crashedMs) {
            if (this.isSettled(Math.max(run.startedMs, crashedMs), detectionMs) && view.has(other)) {
                return `absence: ${vm} still sees ${other}, which crashed`;
            }
        }
        return undefined;
    }
}
