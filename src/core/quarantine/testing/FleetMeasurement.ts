import type { FleetModelOptions } from "./FleetModelOptions.js";
import type { FleetModelResult } from "./FleetModelResult.js";

interface SoundCall {
    readonly arrivedMs: number;
    readonly firstPart: string;
    hasBegun: boolean;
}

/** Collects what `simulateFleet` measures. */
export class FleetMeasurement {
    messages = 0;
    crashes = 0;
    private answeredDeadlyCalls = 0;
    private readonly deadlyCrashesMs: number[] = [];
    private readonly deadlySentMs: number[] = [];
    private readonly soundCalls: SoundCall[] = [];
    private soundRefusals = 0;
    private longestRefusalMs = 0;
    private readonly firstRefusalMs = new Map<string, number>();

    addDeadlyCrash(nowMs: number): void {
        this.deadlyCrashesMs.push(nowMs);
    }

    addDeadlySent(nowMs: number): void {
        this.deadlySentMs.push(nowMs);
    }

    /** Returns the function to call when the first attempt begins to be answered. */
    addSoundCall(partIds: readonly string[], arrivedMs: number): () => void {
        const call = { arrivedMs, firstPart: partIds[0] ?? "", hasBegun: false };
        this.soundCalls.push(call);
        return () => {
            call.hasBegun = true;
        };
    }

    addSoundRefusal(partId: string, nowMs: number): void {
        this.soundRefusals++;
        const firstMs = this.firstRefusalMs.get(partId) ?? nowMs;
        this.firstRefusalMs.set(partId, firstMs);
        this.longestRefusalMs = Math.max(this.longestRefusalMs, nowMs - firstMs);
    }

    addAnswer(partIds: readonly string[], isSound: boolean): void {
        this.answeredDeadlyCalls += isSound ? 0 : 1;
        partIds.forEach(id => this.firstRefusalMs.delete(id));
    }

    summarize({ stableWindowMs, durationMs }: FleetModelOptions): FleetModelResult {
        const crash = this.deadlyCrashesMs[4] ?? this.deadlyCrashesMs.at(-1) ?? 0;
        const fifthMs = this.deadlyCrashesMs[4] ?? Infinity;
        return {
            deadlyCrashesMs: this.deadlyCrashesMs,
            lateDeadlyCalls: this.deadlySentMs.filter(sentMs => sentMs > fifthMs + stableWindowMs).length,
            answeredDeadlyCalls: this.answeredDeadlyCalls,
            soundCalls: this.soundCalls.length,
            soundRefusals: this.soundRefusals,
            longestRefusalMs: this.longestRefusalMs,
            worstFirstAttemptShare: this.getWorstFirstAttemptShare(crash + 2 * stableWindowMs, durationMs - 2_000),
            messages: this.messages,
            crashes: this.crashes,
        };
    }

    private getWorstFirstAttemptShare(fromMs: number, untilMs: number): number {
        const calls = this.soundCalls.filter(call => call.arrivedMs >= fromMs && call.arrivedMs < untilMs);
        const shares = [...Map.groupBy(calls, call => call.firstPart).values()]
            .filter(group => group.length >= 20)
            .map(group => group.filter(call => call.hasBegun).length / group.length);
        return Math.min(1, ...shares);
    }
}
