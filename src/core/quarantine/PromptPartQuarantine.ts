import type { EngineCrash } from "./EngineCrash.js";
import type { PartAdmission } from "./PartAdmission.js";
import type { PartRecord } from "./PartRecord.js";
import type { QuarantineSnapshot } from "./QuarantineSnapshot.js";
import type { WaitingCall } from "./WaitingCall.js";

/** Crashes in a row, with no response to a call with the part in between, after which a part is quarantined. */
const crashesBeforeQuarantine = 2;
/** Time between the last crash and the first probe; multiplied by `probeBackoffFactor` with each failed probe of the part. */
const initialProbeDelayMs = 5_000;
const probeBackoffFactor = 4;
const maxProbeDelayMs = 21_600_000;
/** A probe that has told nothing within this time is followed by another one. */
const probeTimeoutMs = 5_000;
/** A part that no call has asked for in this time is forgotten. */
const recordRetentionMs = 3_600_000;
const maxRecords = 1_024;
const maxExplainedCrashes = 64;
const maxSnapshotRecords = 64;
const maxRecentAnswers = 256;

/**
 * Finds the prompt parts that crash engines, and keeps calls with them from further engines.
 *
 * An engine that crashes takes down all calls on it. Those that had no event yet are suspected, with all shared parts of their prompts. A part
 * is cleared as soon as an engine has begun to answer a call with it after the crash. If calls with the part that were sent after one crash wait
 * on an engine that crashes again, the part is quarantined. One call at a time then probes whether its part still crashes engines, at
 * intervals that grow with each failed probe of the part.
 */
export class PromptPartQuarantine {
    /** Suspected and quarantined parts, the least recently used first. */
    private readonly records = new Map<string, PartRecord>();
    /** Engines whose crash a quarantined part explains. */
    private readonly explainedEngineKeys = new Set<string>();
    /** When the last answers to calls with a part began, the oldest first: a crash may be reported after an answer that followed it. */
    private readonly recentAnswersMs = new Map<string, number>();
    private nextProbeMs = -Infinity;

    /** `probeJitter` is the share by which this VM lengthens delays of probes. VMs with different shares seldom probe at the same moment. */
    constructor(private readonly probeJitter = 0) {}

    /** Records a crash. Returns the parts that it puts into quarantine. */
    recordCrash({ engineKey, crashedMs, calls }: EngineCrash, nowMs: number): readonly string[] {
        this.removeExpired(nowMs);
        const explaining = calls.flatMap(call => call.partIds.filter(id => this.isQuarantined(id)).map(id => ({ id, call })));
        for (const { id, call } of explaining) {
            this.recordCrashOfQuarantined(id, call, engineKey, crashedMs);
        }
        if (explaining.length > 0) {
            this.addExplained(engineKey);
        }
        if (this.explainedEngineKeys.has(engineKey)) {
            return [];
        }
        for (const call of calls) {
            for (const id of call.partIds) {
                this.recordSuspicion(id, call, engineKey, crashedMs);
            }
        }
        const newlyQuarantined = new Set(calls.flatMap(call => this.findCulprit(call) ?? []));
        for (const id of newlyQuarantined) {
            this.quarantine(id, nowMs);
        }
        return [...newlyQuarantined];
    }

    /** Records that an engine began to answer a call with these parts at `begunMs`. Returns the parts that this clears of a suspicion. */
    recordAnswer(partIds: readonly string[], begunMs: number): readonly string[] {
        for (const id of partIds) {
            this.addRecentAnswer(id, begunMs);
        }
        const cleared = partIds.filter(id => begunMs > (this.records.get(id)?.lastCrashMs ?? Infinity));
        for (const id of cleared) {
            if (this.isQuarantined(id)) {
                this.nextProbeMs = begunMs;
            }
            this.records.delete(id);
        }
        return cleared;
    }

    /** Records that another VM sends a call with a quarantined part as a probe. */
    recordProbe(partId: string, nowMs: number): void {
        if (this.isQuarantined(partId)) {
            this.nextProbeMs = Math.max(this.nextProbeMs, nowMs + probeTimeoutMs);
        }
    }

    /** Decides whether a call may be sent to an engine. After `probe`, no other probe is admitted until it has ended or timed out. */
    admit(partIds: readonly string[], nowMs: number): PartAdmission {
        const quarantined = partIds.filter(id => this.isQuarantined(id));
        const partId = quarantined[0];
        if (partId === undefined) {
            return { kind: "admitted" };
        }
        for (const id of quarantined) {
            this.recordRequest(id, nowMs);
        }
        const dueMs = Math.max(this.nextProbeMs, ...quarantined.map(id => this.getProbeDueMs(id)));
        if (nowMs < dueMs) {
            return { kind: "quarantined", partId, retryAfterMs: dueMs - nowMs };
        }
        this.nextProbeMs = nowMs + probeTimeoutMs;
        return { kind: "probe", partId };
    }

    isQuarantined(partId: string): boolean {
        return this.records.get(partId)?.quarantinedMs !== undefined;
    }

    /** Whether the part waited on an engine that crashed, and no engine has begun to answer a call with it since. */
    isSuspected(partId: string): boolean {
        return this.records.has(partId);
    }

    get quarantinedCount(): number {
        return this.quarantinedRecords().length;
    }

    /** The quarantined parts, for a VM that may have missed reports; those that were asked for last, if there are many. */
    takeSnapshot(): QuarantineSnapshot {
        const quarantined = [...this.records].filter(([, record]) => record.quarantinedMs !== undefined);
        return { nextProbeMs: this.nextProbeMs, records: new Map(quarantined.slice(-maxSnapshotRecords)) };
    }

    /**
     * Quarantines the parts of another VM's snapshot that are not quarantined here. Returns these parts, and those that the snapshot still holds
     * although they have been answered since, with the times of these answers.
     */
    applySnapshot(
        { nextProbeMs, records }: QuarantineSnapshot,
    ): { readonly added: readonly string[]; readonly answeredMs: ReadonlyMap<string, number>; } {
        const answeredMs = new Map(
            [...records].map(([id, { lastCrashMs }]) => [id, this.recentAnswersMs.get(id) ?? -Infinity, lastCrashMs] as const)
                .filter(([, begunMs, lastCrashMs]) => begunMs > lastCrashMs)
                .map(([id, begunMs]) => [id, begunMs]),
        );
        const added = [...records].filter(([id]) => !this.isQuarantined(id) && !answeredMs.has(id));
        for (const [id, record] of added) {
            this.setRecord(id, { ...record });
        }
        if (added.length > 0) {
            this.nextProbeMs = Math.max(this.nextProbeMs, nextProbeMs);
        }
        return { added: added.map(([id]) => id), answeredMs };
    }

    private recordSuspicion(id: string, { sentMs }: WaitingCall, engineKey: string, crashedMs: number): void {
        if (crashedMs < (this.recentAnswersMs.get(id) ?? -Infinity)) {
            return;
        }
        const record = this.records.get(id);
        if (record === undefined) {
            const first = { crashes: 1, lastCrashMs: crashedMs, lastEngineKey: engineKey, quarantinedMs: undefined, failedProbes: 0 };
            this.setRecord(id, { ...first, lastRequestedMs: crashedMs });
            return;
        }
        // Engines that crash at the same moment, for example with their rack, are no repeated evidence against what waited on them.
        if (record.lastEngineKey !== engineKey && sentMs >= record.lastCrashMs) {
            record.crashes++;
            record.lastCrashMs = crashedMs;
            record.lastEngineKey = engineKey;
        }
    }

    private recordCrashOfQuarantined(id: string, { sentMs }: WaitingCall, engineKey: string, crashedMs: number): void {
        const record = this.records.get(id);
        if (record?.quarantinedMs === undefined || record.lastEngineKey === engineKey) {
            return;
        }
        record.crashes++;
        record.lastCrashMs = Math.max(record.lastCrashMs, crashedMs);
        record.lastEngineKey = engineKey;
        if (sentMs > record.quarantinedMs) {
            record.failedProbes++;
        }
        // The probe has ended; other parts need not wait for its timeout.
        this.nextProbeMs = Math.min(this.nextProbeMs, crashedMs);
    }

    /** The part of a call with the most crashes; of several, the one that comes last, which fewer other calls have. */
    private findCulprit({ partIds }: WaitingCall): string | undefined {
        let culprit: string | undefined;
        let mostCrashes = crashesBeforeQuarantine;
        for (const id of partIds) {
            const crashes = this.records.get(id)?.crashes ?? 0;
            if (crashes >= mostCrashes) {
                culprit = id;
                mostCrashes = crashes;
            }
        }
        return culprit;
    }

    private quarantine(id: string, nowMs: number): void {
        const record = this.records.get(id);
        if (record !== undefined) {
            record.quarantinedMs = nowMs;
            record.lastRequestedMs = nowMs;
        }
    }

    private getProbeDueMs(id: string): number {
        const record = this.records.get(id);
        if (record === undefined) {
            return -Infinity;
        }
        const delayMs = Math.min(maxProbeDelayMs, initialProbeDelayMs * probeBackoffFactor ** record.failedProbes);
        return record.lastCrashMs + delayMs * (1 + this.probeJitter);
    }

    private quarantinedRecords(): readonly PartRecord[] {
        return [...this.records.values()].filter(record => record.quarantinedMs !== undefined);
    }

    private recordRequest(id: string, nowMs: number): void {
        const record = this.records.get(id);
        if (record !== undefined) {
            record.lastRequestedMs = nowMs;
            this.setRecord(id, record);
        }
    }

    private setRecord(id: string, record: PartRecord): void {
        this.records.delete(id);
        this.records.set(id, record);
        if (this.records.size > maxRecords) {
            this.records.delete(this.records.keys().next().value as string);
        }
    }

    /** Notes that a quarantined part explains the crash, and takes back what an earlier report of it made suspicious. */
    private addExplained(engineKey: string): void {
        if (!this.explainedEngineKeys.has(engineKey)) {
            this.withdrawSuspicions(engineKey);
        }
        this.explainedEngineKeys.add(engineKey);
        if (this.explainedEngineKeys.size > maxExplainedCrashes) {
            this.explainedEngineKeys.delete(this.explainedEngineKeys.values().next().value as string);
        }
    }

    private withdrawSuspicions(engineKey: string): void {
        for (const [id, record] of this.records) {
            if (record.quarantinedMs === undefined && record.lastEngineKey === engineKey && --record.crashes === 0) {
                this.records.delete(id);
            }
        }
    }

    private addRecentAnswer(id: string, begunMs: number): void {
        const latestMs = Math.max(begunMs, this.recentAnswersMs.get(id) ?? -Infinity);
        this.recentAnswersMs.delete(id);
        this.recentAnswersMs.set(id, latestMs);
        if (this.recentAnswersMs.size > maxRecentAnswers) {
            this.recentAnswersMs.delete(this.recentAnswersMs.keys().next().value as string);
        }
    }

    private removeExpired(nowMs: number): void {
        for (const [id, record] of this.records) {
            if (nowMs - Math.max(record.lastRequestedMs, record.lastCrashMs) > recordRetentionMs) {
                this.records.delete(id);
            }
        }
    }
}
