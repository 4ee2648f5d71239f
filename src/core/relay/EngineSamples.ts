import type { EngineSpeedSample } from "../../schema/relay/EngineSpeedSample.js";
import { SpeedHistogram } from "./SpeedHistogram.js";

/** Enough for a quantile; the largest deployments with uneven engines so far have 78 VMs, whose samples are all kept. */
const maxVms = 96;
/** A sample takes the place of another one only with this many times its weight, so that VMs of like weight do not alternate. */
const minWeightRatio = 2;

interface ReceivedSample {
    readonly sample: EngineSpeedSample;
    readonly receivedMs: number;
    readonly weight: number;
    /** Share of the weight that was left at `factorAtMs`. */
    factor: number;
    factorAtMs: number;
}

/** The last sample of each VM for one engine, of at most 96 VMs: of those with the most weight. */
export class EngineSamples {
    private readonly byVm = new Map<string, ReceivedSample>();
    /** The VM whose sample has the least weight; undefined when it has to be found again. */
    private lightestVm: string | undefined;

    get size(): number {
        return this.byVm.size;
    }

    set(vm: string, sample: EngineSpeedSample, nowMs: number): void {
        const received = { sample, receivedMs: nowMs, weight: computeWeight(sample), factor: 1, factorAtMs: nowMs };
        if (!this.byVm.has(vm) && this.byVm.size >= maxVms) {
            this.lightestVm ??= this.findLightest(nowMs);
            const lightest = this.byVm.get(this.lightestVm);
            if (lightest !== undefined && received.weight <= minWeightRatio * lightest.weight * getFactor(lightest, nowMs)) {
                return;
            }
            this.byVm.delete(this.lightestVm);
            this.lightestVm = undefined;
        }
        if (vm === this.lightestVm) {
            this.lightestVm = undefined;
        }
        this.byVm.set(vm, received);
    }

    /** Removes samples that were received before this time. */
    evict(beforeMs: number): void {
        for (const [vm, { receivedMs }] of this.byVm) {
            if (receivedMs < beforeMs) {
                this.byVm.delete(vm);
                this.lightestVm = undefined;
            }
        }
    }

    /** Adds the buckets at this position of all samples, with the weight that is left of them. */
    addTo(target: SpeedHistogram, index: 2 | 3 | 4 | 5, nowMs: number): void {
        for (const received of this.byVm.values()) {
            target.addBuckets(received.sample[index], getFactor(received, nowMs));
        }
    }

    private findLightest(nowMs: number): string {
        let lightestVm = "";
        let leastWeight = Infinity;
        for (const [vm, received] of this.byVm) {
            const weight = received.weight * getFactor(received, nowMs);
            if (weight < leastWeight) {
                lightestVm = vm;
                leastWeight = weight;
            }
        }
        return lightestVm;
    }
}

/** The power is computed once for each time, as all histograms of a sample are read at the same. */
function getFactor(received: ReceivedSample, nowMs: number): number {
    if (received.factorAtMs !== nowMs) {
        received.factorAtMs = nowMs;
        received.factor = SpeedHistogram.decayFactor(nowMs - received.receivedMs);
    }
    return received.factor;
}

function computeWeight(sample: EngineSpeedSample): number {
    return SpeedHistogram.sumWeights(sample[2]) + SpeedHistogram.sumWeights(sample[3]) + SpeedHistogram.sumWeights(sample[4]) +
        SpeedHistogram.sumWeights(sample[5]);
}
