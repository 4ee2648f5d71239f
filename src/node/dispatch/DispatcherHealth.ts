/**
 * Tracks which dispatchers respond. A VM that leaves a message unanswered for `responseTimeoutMs` is suspect until a message arrives from
 * it, so that no ticket waits for a paused dispatcher; a VM that refused is skipped for `refusalBackoffMs`.
 */
export class DispatcherHealth {
    private readonly unansweredSinceMs = new Map<string, number>();
    private readonly suspects = new Set<string>();
    private readonly refusedUntilMs = new Map<string, number>();

    constructor(private readonly responseTimeoutMs: number, private readonly refusalBackoffMs: number) {}

    /** Records that `vm` was sent a message that it must answer. */
    recordMessageSent(vm: string, nowMs: number): void {
        if (!this.unansweredSinceMs.has(vm)) {
            this.unansweredSinceMs.set(vm, nowMs);
        }
    }

    /** Records a message of any type from `vm`. Returns whether it was suspect until now. */
    recordMessageReceived(vm: string): boolean {
        this.unansweredSinceMs.delete(vm);
        return this.suspects.delete(vm);
    }

    /** Records that `vm` refused to dispatch, for example because it is draining. */
    recordRefusal(vm: string, nowMs: number): void {
        this.refusedUntilMs.set(vm, nowMs + this.refusalBackoffMs);
    }

    /** Marks `vm` as suspect at once, after a message could not be sent to it. */
    markUnreachable(vm: string): void {
        this.suspects.add(vm);
    }

    isUsable(vm: string, nowMs: number): boolean {
        const refusedUntilMs = this.refusedUntilMs.get(vm);
        return !this.suspects.has(vm) && (refusedUntilMs === undefined || refusedUntilMs <= nowMs);
    }

    /** Marks every VM whose answer is overdue as suspect, and returns those that were not suspect before. */
    suspectOverdue(nowMs: number): readonly string[] {
        const newSuspects: string[] = [];
        for (const [vm, sinceMs] of this.unansweredSinceMs) {
            if (nowMs - sinceMs >= this.responseTimeoutMs && !this.suspects.has(vm)) {
                this.suspects.add(vm);
                newSuspects.push(vm);
            }
        }
        return newSuspects;
    }

    /** Suspect VMs, which are probed until they respond. */
    get suspectVms(): ReadonlySet<string> {
        return this.suspects;
    }

    /** Removes the entries of VMs that are not in `vms`. */
    retain(vms: ReadonlySet<string>): void {
        for (const entries of [this.unansweredSinceMs, this.suspects, this.refusedUntilMs]) {
            for (const vm of entries.keys()) {
                if (!vms.has(vm)) {
                    entries.delete(vm);
                }
            }
        }
    }
}
