import type { LearnedSpeed } from "../../schema/relay/LearnedSpeed.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import type { SpeedChange } from "./SpeedChange.js";
import type { SpeedClass } from "./SpeedClass.js";

type Incarnation = Pick<RelayUpstream, "id" | "startedWallMs">;

interface EngineSpeed {
    readonly startedWallMs: number;
    /** Speed relative to the median engine of the service, as measured. */
    measured: number;
    speedClass: SpeedClass;
    /** The class that the last `agreeingCount` measurements agree on. */
    measuredClass: SpeedClass;
    agreeingCount: number;
    updatedAtMs: number;
}

/** Within this band engines count as alike: two earlier deployments mix engines of 1.0 and 1.3. */
const band = { min: 0.75, max: 1.35 };
/**
 * An engine leaves the band only when it is measured well outside: long prompts on a busy engine stretch its gaps, and one with steps 1.3 times
 * as long measured 0.752, close to the edge.
 */
const leaveBand = { min: 0.66, max: 1.53 };
/** Waits make prefill look slower and hardly ever faster, so that only the lower end has a margin. */
const prefillLeaveBand = { min: leaveBand.min, max: band.max };
/** The prefill speed of a service returns to 1 only when it is well inside the band, so that it does not alternate. */
const prefillReturnBand = { min: 0.8, max: 1.28 };
/**
 * Consecutive updates that must agree before a class changes: while a fleet starts with cold caches, engines that prefill without a pause
 * look slow for a second or two.
 */
const agreeingUpdates = 3;
/** From this share of engines outside the band on, a service counts as uneven. */
const minUnevenShare = 0.1;

/** The speeds by which the calls of one service are placed: of its engines relative to the median one, and of prefill. */
export class ServiceSpeeds {
    private readonly engines = new Map<string, EngineSpeed>();
    private prefill = 1;
    /** Consecutive measurements outside the band. */
    private prefillOutsideCount = 0;

    constructor(private readonly service: string, private readonly onChange: (change: SpeedChange) => void) {}

    /** Prefill speed relative to `estimatePrefillMs`; 1 within the band. */
    get prefillSpeed(): number {
        return this.prefill;
    }

    /** Speeds of all engines, within the band or not. */
    get measuredSpeeds(): readonly number[] {
        return [...this.engines.values()].map(({ measured }) => measured);
    }

    /** Number of engines outside the band. */
    get outsideCount(): number {
        let count = 0;
        for (const { speedClass } of this.engines.values()) {
            count += speedClass === "normal" ? 0 : 1;
        }
        return count;
    }

    /** Whether engines outside the band are a lasting part of the service, and not a single engine in trouble. */
    get isUneven(): boolean {
        return this.outsideCount >= Math.max(2, this.engines.size * minUnevenShare);
    }

    /** Speed relative to the median engine; 1 within the band, and for an incarnation of which nothing is known. */
    speedOf({ id, startedWallMs }: Incarnation): number {
        const engine = this.engines.get(id);
        return engine === undefined || engine.speedClass === "normal" || engine.startedWallMs !== startedWallMs ? 1 : engine.measured;
    }

    isNormal(id: string): boolean {
        return this.engines.get(id)?.speedClass === "normal";
    }

    /** Speeds outside the band. */
    list(): LearnedSpeed[] {
        return [...this.engines].filter(([, { speedClass }]) => speedClass !== "normal").map((
            [id, { startedWallMs, measured }],
        ) => [id, startedWallMs, Math.round(measured * 100) / 100]);
    }

    /** Records a measured speed, and changes the class once `agreeingUpdates` measurements in a row agree. */
    recordMeasurement(incarnation: Incarnation, speed: number, nowMs: number): void {
        const engine = this.setMeasured(incarnation, speed, nowMs);
        const measuredClass = classify(speed, engine.speedClass);
        engine.agreeingCount = measuredClass === engine.measuredClass ? engine.agreeingCount + 1 : 1;
        engine.measuredClass = measuredClass;
        if (engine.agreeingCount >= agreeingUpdates) {
            this.setClass(incarnation.id, engine, measuredClass);
        }
    }

    /** Records a measured prefill speed of the engines at normal speed. */
    recordPrefillMeasurement(speed: number): void {
        const { min, max } = this.prefill === 1 ? prefillLeaveBand : prefillReturnBand;
        this.prefillOutsideCount = speed < min || speed > max ? this.prefillOutsideCount + 1 : 0;
        this.prefill = this.prefillOutsideCount < agreeingUpdates ? 1 : speed;
    }

    /** Takes over the speeds that the placement VM has announced; engines that it does not list are normal. */
    applyAnnounced(speeds: readonly LearnedSpeed[], prefillSpeed: number, nowMs: number): void {
        const announced = new Set(speeds.map(([id]) => id));
        for (const [id, { startedWallMs }] of this.engines) {
            if (!announced.has(id)) {
                this.applySpeed({ id, startedWallMs }, 1, nowMs);
            }
        }
        for (const [id, startedWallMs, speed] of speeds) {
            this.applySpeed({ id, startedWallMs }, speed, nowMs);
        }
        this.prefill = prefillSpeed;
    }

    /** Forgets a prefill speed that is no longer measured or announced. */
    resetPrefill(): void {
        this.prefill = 1;
    }

    /** Removes engines whose speed was not updated since. */
    evict(beforeMs: number, nowMs: number): void {
        for (const [id, { updatedAtMs, startedWallMs }] of this.engines) {
            if (updatedAtMs < beforeMs) {
                this.applySpeed({ id, startedWallMs }, 1, nowMs);
                this.engines.delete(id);
            }
        }
    }

    remove(id: string): void {
        this.engines.delete(id);
    }

    /**
     * Applies a speed as the placement VM places by it: every one other than 1 is outside the band there, also where it would not leave the
     * band here.
     */
    private applySpeed(incarnation: Incarnation, speed: number, nowMs: number): void {
        const engine = this.setMeasured(incarnation, speed, nowMs);
        engine.measuredClass = speed < 1 ? "slow" : speed > 1 ? "fast" : "normal";
        engine.agreeingCount = agreeingUpdates;
        this.setClass(incarnation.id, engine, engine.measuredClass);
    }

    private setMeasured({ id, startedWallMs }: Incarnation, speed: number, nowMs: number): EngineSpeed {
        let engine = this.engines.get(id);
        if (engine?.startedWallMs !== startedWallMs) {
            engine = {
                startedWallMs,
                measured: speed,
                speedClass: "normal",
                measuredClass: "normal",
                agreeingCount: 0,
                updatedAtMs: nowMs,
            };
            this.engines.set(id, engine);
        }
        engine.measured = speed;
        engine.updatedAtMs = nowMs;
        return engine;
    }

    private setClass(upstreamId: string, engine: EngineSpeed, to: SpeedClass): void {
        const from = engine.speedClass;
        engine.speedClass = to;
        if (from !== to) {
            this.onChange({ upstreamId, service: this.service, from, to, speed: engine.measured });
        }
    }
}

function classify(speed: number, from: SpeedClass): SpeedClass {
    const { min, max } = from === "normal" ? leaveBand : band;
    return speed < min ? "slow" : speed > max ? "fast" : "normal";
}
