/** Two VMs that avoid an upstream show that it is not only one of them that cannot reach it. */
const minVms = 2;
/** Health of an upstream is judged anew by each VM after 400 ms at the earliest; a report counts for a little longer. */
const reportValidMs = 600;

/**
 * Upstreams that VMs avoid, as the placement VM hears of them with the calls that it places. Load answered: upstreams that have crashed have no
 * calls in flight, so that they attract those of every VM that has not yet tried them.
 */
export class SuspectUpstreams {
    private readonly reportsById = new Map<string, Map<string, number>>();

    /** Records that a VM avoids these upstreams now. */
    record(vm: string, upstreamIds: readonly string[], nowMs: number): void {
        for (const id of upstreamIds) {
            const reports = this.reportsById.get(id) ?? new Map<string, number>();
            this.reportsById.set(id, reports);
            reports.set(vm, nowMs);
        }
    }

    /** Whether enough VMs have avoided the upstream lately. */
    isSuspect(upstreamId: string, nowMs: number): boolean {
        const reports = this.reportsById.get(upstreamId);
        if (reports === undefined) {
            return false;
        }
        for (const [vm, reportedMs] of reports) {
            if (nowMs - reportedMs > reportValidMs) {
                reports.delete(vm);
            }
        }
        if (reports.size === 0) {
            this.reportsById.delete(upstreamId);
        }
        return reports.size >= minVms;
    }
}
