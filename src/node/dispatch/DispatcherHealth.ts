/**
 * Judges which dispatchers answer. A VM that leaves a message unanswered for `answerTimeoutMs` is suspect until it is heard again, so that
 * a paused dispatcher does not hold tickets; a VM that refused is passed over for `refusalMs`.
 */
export class DispatcherHealth {
    private readonly unansweredSinceMs = new Map<string, number>();
    private readonly suspects = new Set<string>();
    private readonly refusedUntilMs = new Map<string, number>();

    constructor(private readonly answerTimeoutMs: number, private readonly refusalMs: number) {}

    /** Notes that `vm` was sent something it must answer. */
    recordMessageSent(vm: string, nowMs: number): void {
        if (!this.unansweredSinceMs.has(vm)) {
            this.unansweredSinceMs.set(vm, nowMs);
        }
    }

    /** Notes any message from `vm`. Returns whether it was suspect until now. */
    recordMessageReceived(vm: string): boolean {
        this.unansweredSinceMs.delete(vm);
        return this.suspects.delete(vm);
    }

    /** Notes that `vm` does not dispatch at present. */
    recordRefusal(vm: string, nowMs: number): void {
        this.refusedUntilMs.set(vm, nowMs + this.refusalMs);
    }

    /** Notes that nothing can be sent to `vm`. */
    markUnreachable(vm: string): void {
        this.suspects.add(vm);
    }

    isUsable(vm: string, nowMs: number): boolean {
        const refusedUntilMs = this.refusedUntilMs.get(vm);
        return !this.suspects.has(vm) && (refusedUntilMs === undefined || refusedUntilMs <= nowMs);
    }

    /** Moves every VM whose answer is overdue to the suspects and returns those that are new. */
    suspectOverdue(nowMs: number): readonly string[] {
        const expired: string[] = [];
        for (const [vm, sinceMs] of this.unansweredSinceMs) {
            if (nowMs - sinceMs >= this.answerTimeoutMs && !this.suspects.has(vm)) {
                this.suspects.add(vm);
                expired.push(vm);
            }
        }
        return expired;
    }

    /** VMs to probe, as they are suspect. */
    get suspectVms(): ReadonlySet<string> {
        return this.suspects;
    }

    /** Forgets VMs that have left the fleet. */
    retain(vms: ReadonlySet<string>): void {
        for (const known of [this.unansweredSinceMs, this.suspects, this.refusedUntilMs]) {
            for (const vm of known.keys()) {
                if (!vms.has(vm)) {
                    known.delete(vm);
                }
            }
        }
    }
}
