import type { ConfigSnapshot } from "../../core/config/ConfigSnapshot.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { ConfigSettings } from "../../schema/settings/ConfigSettings.js";
import type { LogClient } from "../services/LogClient.js";
import type { MembershipService } from "../services/MembershipService.js";
import { encodeSnapshot } from "./encodeSnapshot.js";

const rankDelayMs = 10_000;

interface SnapshotWriterOptions {
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly settings: ConfigSettings;
    readonly vm: string;
    readonly membership: MembershipService;
}

/** Appends snapshots well before the log forgets the last one, or the records after it. */
export class SnapshotWriter {
    private lastOffset = -1;
    private lastWallMs = 0;
    private dueSinceMs: number | undefined;

    constructor(private readonly options: SnapshotWriterOptions) {}

    /** Takes a snapshot that was read from the log, whoever wrote it. */
    observe(snapshot: ConfigSnapshot): void {
        this.lastOffset = Math.max(this.lastOffset, snapshot.offset);
        this.lastWallMs = Math.max(this.lastWallMs, snapshot.writtenAtMs ?? 0);
    }

    /** The first ready VM by name writes a snapshot that is due; the others follow one after another while it is still missing. */
    async writeIfDue(offset: number, takeSnapshot: () => ConfigSnapshot, signal: AbortSignal): Promise<void> {
        const { log, scheduler, settings, vm, membership } = this.options;
        if (!this.isDue(offset)) {
            this.dueSinceMs = undefined;
            return;
        }
        this.dueSinceMs ??= scheduler.nowMs();
        const rank = membership.members.filter(member => member.state === "ready" && member.vm < vm).length;
        if (scheduler.nowMs() - this.dueSinceMs >= rank * rankDelayMs) {
            const snapshot = { ...takeSnapshot(), writtenAtMs: scheduler.wallMs() };
            await log.append(settings.snapshotStream, encodeSnapshot(snapshot), signal);
        }
    }

    private isDue(offset: number): boolean {
        const { scheduler, settings } = this.options;
        const isDueByCount = offset - this.lastOffset >= settings.snapshotEveryRecords;
        return offset >= 0 && (isDueByCount || scheduler.wallMs() - this.lastWallMs >= settings.snapshotPeriodMs);
    }
}
