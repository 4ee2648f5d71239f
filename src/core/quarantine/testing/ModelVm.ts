import type { Scheduler } from "../../util/Scheduler.js";
import type { PartAdmission } from "../PartAdmission.js";
import type { PartRecord } from "../PartRecord.js";
import { PromptPartQuarantine } from "../PromptPartQuarantine.js";
import type { WaitingCall } from "../WaitingCall.js";
import type { FleetMessage } from "./FleetMessage.js";

/** A VM's part in the quarantine: it tells the other VMs what it has seen itself. */
export class ModelVm {
    quarantine: PromptPartQuarantine;

    constructor(
        private readonly scheduler: Scheduler,
        private readonly clockOffsetMs: number,
        private readonly probeJitter: number,
        private readonly broadcast: (message: FleetMessage) => void,
        private readonly onQuarantined: (partIds: readonly string[]) => void,
    ) {
        this.quarantine = new PromptPartQuarantine(probeJitter);
    }

    nowMs(): number {
        return this.scheduler.nowMs() + this.clockOffsetMs;
    }

    admit(partIds: readonly string[]): PartAdmission {
        const admission = this.quarantine.admit(partIds, this.nowMs());
        if (admission.kind === "probe") {
            this.broadcast({ kind: "probe", partId: admission.partId });
        }
        return admission;
    }

    reportAnswer(partIds: readonly string[]): void {
        const begunMs = this.nowMs();
        if (this.quarantine.recordAnswer(partIds, begunMs).length > 0) {
            this.broadcast({ kind: "answer", partIds, begunAgoMs: 0 });
        }
    }

    reportCrash(engineKey: string, crashedMs: number, calls: readonly WaitingCall[]): void {
        const nowMs = this.nowMs();
        this.onQuarantined(this.quarantine.recordCrash({ engineKey, crashedMs, calls }, nowMs));
        const reported = calls.map(({ partIds, sentMs }) => ({ partIds, sentAgoMs: nowMs - sentMs }));
        this.broadcast({ kind: "crash", engineKey, crashedAgoMs: nowMs - crashedMs, calls: reported });
    }

    receive(message: FleetMessage): void {
        const nowMs = this.nowMs();
        switch (message.kind) {
            case "crash": {
                const { engineKey, crashedAgoMs } = message;
                const calls = message.calls.map(({ partIds, sentAgoMs }) => ({ partIds, sentMs: nowMs - sentAgoMs }));
                this.onQuarantined(this.quarantine.recordCrash({ engineKey, crashedMs: nowMs - crashedAgoMs, calls }, nowMs));
                return;
            }
            case "answer":
                this.quarantine.recordAnswer(message.partIds, nowMs - message.begunAgoMs);
                return;
            case "probe":
                this.quarantine.recordProbe(message.partId, nowMs);
                return;
            case "snapshot":
                this.onQuarantined(
                    this.quarantine.applySnapshot({
                        nextProbeMs: nowMs + message.nextProbeInMs,
                        records: new Map([...message.records].map(([id, record]) => [id, shiftTimes(record, nowMs)])),
                    }).added,
                );
        }
    }

    takeSnapshot(): FleetMessage {
        const nowMs = this.nowMs();
        const { nextProbeMs, records } = this.quarantine.takeSnapshot();
        return {
            kind: "snapshot",
            nextProbeInMs: nextProbeMs - nowMs,
            records: [...records].map(([id, record]) => [id, shiftTimes(record, -nowMs)]),
        };
    }

    /** Starts again without any knowledge. */
    restart(): void {
        this.quarantine = new PromptPartQuarantine(this.probeJitter);
    }
}

function shiftTimes(record: PartRecord, offsetMs: number): PartRecord {
    const { quarantinedMs } = record;
    return {
        ...record,
        lastCrashMs: record.lastCrashMs + offsetMs,
        quarantinedMs: quarantinedMs === undefined ? undefined : quarantinedMs + offsetMs,
        lastRequestedMs: record.lastRequestedMs + offsetMs,
    };
}
