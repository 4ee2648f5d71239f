import type { FakeFleet } from "./FakeFleet.js";

/** After this long without cuts every VM sees all that run. */
const convergenceMs = 8000;
/** After this long a VM that crashed is in no view. */
const detectionMs = 5000;

interface Run {
    readonly startedMs: number;
    readonly run: number;
}

/**
 * Watches the views of a fake fleet while a schedule of faults runs. It knows from the schedule alone which VMs run and since when, and
 * tells the first view that breaks a rule.
 */
export class MembershipChecker {
    private readonly running = new Map<string, Run>();
    private readonly crashedMs = new Map<string, number>();
    /** Newest incarnation of each VM seen by each run of a VM. */
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

    /** Looks at all views now; undefined when every rule holds. */
    check(): string | undefined {
        if (this.fleet.hasCuts) {
            this.lastCutMs = this.nowMs;
        }
        for (const [vm, run] of this.running) {
            const broken = this.checkIncarnations(vm, run) ?? this.checkPresence(vm, run) ?? this.checkAbsence(vm, run);
            if (broken !== undefined) {
                return `at ${this.nowMs} ms: ${broken}`;
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

    /** No VM goes back from a newer incarnation of another to an older one. */
    private checkIncarnations(vm: string, run: Run): string | undefined {
        for (const member of this.fleet.table(vm).members) {
            const key = `${run.run} ${member.vm}`;
            const newest = this.seen.get(key) ?? "";
            if (member.incarnation < newest) {
                return `incarnation: ${vm} went back from ${newest} to ${member.incarnation} of ${member.vm}`;
            }
            this.seen.set(key, member.incarnation);
        }
        return undefined;
    }

    /** VMs that run and can reach each other are in each other's views, without a break. */
    private checkPresence(vm: string, run: Run): string | undefined {
        const view = new Set(this.fleet.view(vm));
        for (const [other, otherRun] of this.running) {
            const sinceMs = Math.max(run.startedMs, otherRun.startedMs);
            if (this.isSettled(sinceMs, convergenceMs) && !view.has(other)) {
                return `presence: ${vm} does not see ${other}, which runs`;
            }
        }
        return undefined;
    }

    /** A VM that crashed is in no view for long. */
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
