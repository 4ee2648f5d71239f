import type { EngineSpeedSample } from "../../schema/relay/EngineSpeedSample.js";
import type { LearnedSpeed } from "../../schema/relay/LearnedSpeed.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { EngineObservations } from "./EngineObservations.js";
import { EngineSpeedMeter } from "./EngineSpeedMeter.js";
import { ServiceSpeeds } from "./ServiceSpeeds.js";
import type { SpeedChange } from "./SpeedChange.js";

interface ServiceState {
    readonly speeds: ServiceSpeeds;
    updatedAtMs: number;
    /** Whether the observations known here cover enough engines to go by them, and not by what the placement VM announces. */
    isMeasured: boolean;
    announcedAtMs: number;
}

const updateIntervalMs = 1_000;
/** A VM that has not placed a call for this long goes by what the placement VM announces. */
const measuredTimeoutMs = 5_000;
/** Speeds are dropped when they have not been updated for this long, as observations are. */
const maxAgeMs = 30_000;
/** Below this share of the engines measured, a median says little about the service. */
const minMeasuredShare = 0.5;

/** Learns the speed of engines relative to the median engine of their service from the events of all VMs' streams. */
export class EngineSpeeds {
    private readonly observations = new EngineObservations();
    private readonly meter = new EngineSpeedMeter(this.observations);
    private readonly services = new Map<string, ServiceState>();
    private changeListener: (change: SpeedChange) => void = () => undefined;

    onChange(listener: (change: SpeedChange) => void): void {
        this.changeListener = listener;
    }

    /** Records the time between two events of a stream. */
    recordGap(engine: RelayUpstream, isLongPrompt: boolean, gapMs: number, nowMs: number): void {
        this.observations.recordGap(engine, isLongPrompt, gapMs, nowMs);
    }

    /** Records the time to the first event of a cached prompt that was sent without a wait, with its prefill time by `estimatePrefillMs`. */
    recordFirstEvent(engine: RelayUpstream, firstEventMs: number, expectedPrefillMs: number, nowMs: number): void {
        this.observations.recordFirstEvent(engine, firstEventMs, expectedPrefillMs, nowMs);
    }

    /** Samples of the engines that this VM has observed at `sinceMs` or later and whose id is selected. */
    takeSamples(sinceMs: number, isSelected: (id: string) => boolean, nowMs: number): EngineSpeedSample[] {
        return this.observations.takeSamples(sinceMs, isSelected, nowMs);
    }

    /** Replaces the samples of a VM for the engines that it lists; a repeated or late one does no harm. */
    applySamples(vm: string, samples: readonly EngineSpeedSample[], nowMs: number): void {
        this.observations.applySamples(vm, samples, nowMs);
    }

    /** Speeds outside the band, for other VMs. */
    listSpeeds(service: string): LearnedSpeed[] {
        return this.services.get(service)?.speeds.list() ?? [];
    }

    /** Takes over the speeds that the placement VM has learned, unless this VM knows enough observations itself. */
    applyAnnounced(service: string, speeds: readonly LearnedSpeed[], prefillSpeed: number, nowMs: number): void {
        const state = this.getService(service);
        if (state.isMeasured && nowMs - state.updatedAtMs < measuredTimeoutMs) {
            return;
        }
        state.speeds.applyAnnounced(speeds, prefillSpeed, nowMs);
        state.announcedAtMs = nowMs;
    }

    /** Computes the speeds of the engines of a service from all observations, at most once a second. */
    update(service: string, engines: readonly RelayUpstream[], nowMs: number): void {
        const state = this.getService(service);
        if (nowMs - state.updatedAtMs < updateIntervalMs) {
            return;
        }
        state.updatedAtMs = nowMs;
        this.observations.evict(nowMs);
        const measured = this.meter.measureSpeeds(engines, nowMs);
        state.isMeasured = measured.size > 1 && measured.size >= engines.length * minMeasuredShare;
        if (state.isMeasured) {
            this.recordMeasurements(state.speeds, engines, measured, nowMs);
        }
        else if (nowMs - state.announcedAtMs > maxAgeMs) {
            state.speeds.resetPrefill();
        }
        state.speeds.evict(nowMs - maxAgeMs, nowMs);
    }

    /** Speed relative to the median engine of the service; 1 within the band, and for an incarnation of which nothing is known. */
    speedOf(engine: RelayUpstream): number {
        return this.services.get(engine.service)?.speeds.speedOf(engine) ?? 1;
    }

    /** Prefill speed of the service's median engine relative to `estimatePrefillMs`; 1 within the band. */
    prefillSpeedOf(service: string): number {
        return this.services.get(service)?.speeds.prefillSpeed ?? 1;
    }

    /** Whether engines outside the band are a lasting part of the service, and not a single engine in trouble. */
    isUneven(service: string): boolean {
        return this.services.get(service)?.speeds.isUneven === true;
    }

    /** Smallest and largest measured speed, and the number of engines outside the band; 1, 1 and 0 when nothing is known. */
    summarize(): { readonly min: number; readonly max: number; readonly outside: number; } {
        const services = [...this.services.values()].map(({ speeds }) => speeds);
        const measured = services.flatMap(speeds => speeds.measuredSpeeds);
        const known = measured.length === 0 ? [1] : measured;
        return {
            min: Math.min(...known),
            max: Math.max(...known),
            outside: services.reduce((sum, { outsideCount }) => sum + outsideCount, 0),
        };
    }

    /** Removes observations and samples of which none is recent enough to count. */
    evictObservations(nowMs: number): void {
        this.observations.evict(nowMs);
    }

    removeUpstream(id: string): void {
        this.observations.remove(id);
        for (const { speeds } of this.services.values()) {
            speeds.remove(id);
        }
    }

    private recordMeasurements(
        speeds: ServiceSpeeds,
        engines: readonly RelayUpstream[],
        measured: ReadonlyMap<string, number>,
        nowMs: number,
    ): void {
        for (const engine of engines) {
            const speed = measured.get(engine.id);
            if (speed !== undefined) {
                speeds.recordMeasurement(engine, speed, nowMs);
            }
        }
        const prefillSpeed = this.meter.measurePrefillSpeed(engines.filter(({ id }) => speeds.isNormal(id)), nowMs);
        if (prefillSpeed !== undefined) {
            speeds.recordPrefillMeasurement(prefillSpeed);
        }
    }

    private getService(service: string): ServiceState {
        let state = this.services.get(service);
        if (state === undefined) {
            const speeds = new ServiceSpeeds(service, change => {
                this.changeListener(change);
            });
            state = { speeds, updatedAtMs: -Infinity, isMeasured: false, announcedAtMs: -Infinity };
            this.services.set(service, state);
        }
        return state;
    }
}
