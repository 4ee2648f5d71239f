import type { EngineSpeedSample } from "../../schema/relay/EngineSpeedSample.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { EngineSamples } from "./EngineSamples.js";
import { SpeedHistogram } from "./SpeedHistogram.js";

/** What is known of one engine's incarnation: the observations of this VM, and the last sample of each other VM. */
interface IncarnationObservations {
    readonly startedWallMs: number;
    readonly shortGaps: SpeedHistogram;
    readonly longGaps: SpeedHistogram;
    /** Times to the first event of cached prompts with a short and with a long prefill. */
    readonly shortPrefills: SpeedHistogram;
    readonly longPrefills: SpeedHistogram;
    observedAtMs: number;
    readonly samplesByVm: EngineSamples;
}

/** Position of each histogram in a sample. */
const sampleIndex = { shortGaps: 2, longGaps: 3, shortPrefills: 4, longPrefills: 5 } as const;

type ObservationKind = keyof typeof sampleIndex;

/**
 * Two ranges of expected prefill times. The difference of the times to the first event shows the prefill speed whatever delay, decode and
 * network add to both.
 */
const shortPrefillRange = { minMs: 30, maxMs: 45 };
const longPrefillRange = { minMs: 110, maxMs: 165 };
/** Events that arrive closer together were held up on the way; after longer gaps the upstream was silent, not slow. */
const minGapMs = 2;
const maxGapMs = 2_000;
/** Observations and samples are dropped after six half-lives without an update. */
const maxAgeMs = 30_000;

/** What all VMs have observed of the engines' streams, by engine: times between events, and times to the first event. */
export class EngineObservations {
    private readonly byId = new Map<string, IncarnationObservations>();

    /** Records the time between two events of a stream. */
    recordGap(engine: RelayUpstream, isLongPrompt: boolean, gapMs: number, nowMs: number): void {
        if (gapMs >= minGapMs && gapMs <= maxGapMs) {
            this.add(engine, isLongPrompt ? "longGaps" : "shortGaps", gapMs, nowMs);
        }
    }

    /** Records the time to the first event of a cached prompt that was sent without a wait, with its prefill time by `estimatePrefillMs`. */
    recordFirstEvent(engine: RelayUpstream, firstEventMs: number, expectedPrefillMs: number, nowMs: number): void {
        const isShort = isWithin(expectedPrefillMs, shortPrefillRange);
        if (firstEventMs >= 0 && (isShort || isWithin(expectedPrefillMs, longPrefillRange))) {
            this.add(engine, isShort ? "shortPrefills" : "longPrefills", firstEventMs, nowMs);
        }
    }

    /** Samples of the engines that this VM has observed at `sinceMs` or later and whose id is selected. */
    takeSamples(sinceMs: number, isSelected: (id: string) => boolean, nowMs: number): EngineSpeedSample[] {
        const samples: EngineSpeedSample[] = [];
        for (const [id, { startedWallMs, observedAtMs, ...histograms }] of this.byId) {
            if (observedAtMs >= Math.max(sinceMs, nowMs - maxAgeMs) && isSelected(id)) {
                const { shortGaps, longGaps, shortPrefills, longPrefills } = histograms;
                const [first, second] = [shortGaps.toBuckets(nowMs), longGaps.toBuckets(nowMs)];
                samples.push([id, startedWallMs, first, second, shortPrefills.toBuckets(nowMs), longPrefills.toBuckets(nowMs)]);
            }
        }
        return samples;
    }

    /** Replaces the samples of a VM for the engines that it lists; a repeated or late one does no harm. */
    applySamples(vm: string, samples: readonly EngineSpeedSample[], nowMs: number): void {
        for (const sample of samples) {
            this.get(sample[0], sample[1])?.samplesByVm.set(vm, sample, nowMs);
        }
    }

    /** Adds what is known of the present incarnation of an engine to a histogram. */
    addTo(target: SpeedHistogram, engine: RelayUpstream, kind: ObservationKind, nowMs: number): void {
        const observations = this.byId.get(engine.id);
        if (observations === undefined || observations.startedWallMs !== engine.startedWallMs) {
            return;
        }
        target.addBuckets(observations[kind].toBuckets(nowMs), 1);
        observations.samplesByVm.addTo(target, sampleIndex[kind], nowMs);
    }

    /** Removes samples older than 30 s, and engines without observations since, which are gone or were named by a wrong sample only. */
    evict(nowMs: number): void {
        for (const [id, { observedAtMs, samplesByVm }] of this.byId) {
            samplesByVm.evict(nowMs - maxAgeMs);
            if (samplesByVm.size === 0 && nowMs - observedAtMs > maxAgeMs) {
                this.byId.delete(id);
            }
        }
    }

    remove(id: string): void {
        this.byId.delete(id);
    }

    private add(engine: RelayUpstream, kind: ObservationKind, valueMs: number, nowMs: number): void {
        const observations = this.get(engine.id, engine.startedWallMs);
        if (observations !== undefined) {
            observations[kind].add(valueMs, nowMs);
            observations.observedAtMs = nowMs;
        }
    }

    /** Observations of an engine's newest known incarnation; undefined for an earlier one. */
    private get(id: string, startedWallMs: number): IncarnationObservations | undefined {
        let observations = this.byId.get(id);
        if (observations === undefined || observations.startedWallMs < startedWallMs) {
            observations = {
                startedWallMs,
                shortGaps: new SpeedHistogram(),
                longGaps: new SpeedHistogram(),
                shortPrefills: new SpeedHistogram(),
                longPrefills: new SpeedHistogram(),
                observedAtMs: -Infinity,
                samplesByVm: new EngineSamples(),
            };
            this.byId.set(id, observations);
        }
        return observations.startedWallMs === startedWallMs ? observations : undefined;
    }
}

function isWithin(valueMs: number, range: { readonly minMs: number; readonly maxMs: number; }): boolean {
    return valueMs >= range.minMs && valueMs < range.maxMs;
}
