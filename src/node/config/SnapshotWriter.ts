import type { ConfigSnapshot } from "../../core/config/ConfigSnapshot.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { ConfigSettings } from "../../schema/settings/ConfigSettings.js";
import type { LogClient } from "../services/LogClient.js";
import type { MembershipService } from "../services/MembershipService.js";
import { encodeSnapshot } from "./encodeSnapshot.js";

const delayPerRankMs = 10_000;

interface SnapshotWriterOptions {
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly settings: ConfigSettings;
    readonly vm: string;
    readonly membership: MembershipService;
}

/** Appends snapshots to the log, each well before the log truncates the previous snapshot or the records after it. */
export class SnapshotWriter {
    private lastSnapshotOffset = -1;
    private lastWrittenAtMs = 0;
    private dueSinceMs: number | undefined;

    constructor(private readonly options: SnapshotWriterOptions) {}

    /** Records the offset and the write time of a snapshot read from the log, whichever VM wrote it. */
    observe(snapshot: ConfigSnapshot): void {
        this.lastSnapshotOffset = Math.max(this.lastSnapshotOffset, snapshot.offset);
        this.lastWrittenAtMs = Math.max(this.lastWrittenAtMs, snapshot.writtenAtMs ?? 0);
    }

    /**
     * Writes a snapshot if one is due. The ready VMs are ranked by name: the first writes at once, and each of the others waits
     * `delayPerRankMs` longer than the one before it and writes only if the snapshot is still missing.
     */
    async writeIfDue(offset: number, takeSnapshot: () => ConfigSnapshot, signal: AbortSignal): Promise<void> {
        const { log, scheduler, settings, vm, membership } = this.options;
        if (!this.isDue(offset)) {
            this.dueSinceMs = undefined;
            return;
        }
        this.dueSinceMs ??= scheduler.nowMs();
        const rank = membership.members.filter(member => member.state === "ready" && member.vm < vm).length;
        if (scheduler.nowMs() - this.dueSinceMs >= rank * delayPerRankMs) {
            const snapshot = { ...takeSnapshot(), writtenAtMs: scheduler.wallMs() };
            await log.append(settings.snapshotStream, encodeSnapshot(snapshot), signal);
        }
    }

    private isDue(offset: number): boolean {
        const { scheduler, settings } = this.options;
        const isDueByCount = offset - this.lastSnapshotOffset >= settings.snapshotEveryRecords;
        return offset >= 0 && (isDueByCount || scheduler.wallMs() - this.lastWrittenAtMs >= settings.snapshotPeriodMs);
    }
}
