import type { EngineCall } from "./EngineCall.js";
import { EngineFake } from "./EngineFake.js";
import { engineProfile } from "./engineProfile.js";
import { EventLoop } from "./EventLoop.js";
import type { Job } from "./Job.js";
import type { Workload } from "./Workload.js";

/** Time after which a silent connection is treated as lost. */
const cutDetectionMs = 1_000;
/** Time after which a dispatcher that does not respond is bypassed. */
const responseTimeoutMs = 150;

/** Simulated engines, faults and network of one run, with counters of processed and wasted tokens. */
export class World {
    readonly loop = new EventLoop();
    readonly engines: readonly EngineFake[];
    /** Prompt and output tokens that the engines processed. */
    workedTokens = 0;
    wastedTokens = 0;
    private readonly listeners: (() => void)[] = [];

    constructor(readonly workload: Workload) {
        this.engines = [...Array(workload.engineCount).keys()].map(index =>
            new EngineFake(`engine-${index}`, workload.zones[index % workload.zones.length] as string, this.loop)
        );
        this.scheduleReports();
        this.scheduleFaults();
    }

    engine(id: string): EngineFake {
        return this.engines.find(engine => engine.id === id) as EngineFake;
    }

    /** Returns whether the two zones can reach each other now. */
    isConnected(zone: string, otherZone: string): boolean {
        const { nowMs } = this.loop;
        const isCut = this.workload.cuts.some(cut =>
            cut.fromMs <= nowMs && nowMs < cut.toMs && (cut.zone === zone) !== (cut.zone === otherZone)
        );
        return !isCut;
    }

    /** Registers a listener that is called after a zone is cut off or reconnected. */
    onCut(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** Opens a stream of the job. `onEnd` receives `completed`, or `broken` if the stream was lost for any reason. */
    open(
        job: Job,
        engine: EngineFake,
        priority: number,
        onToken: () => void,
        onEnd: (result: "completed" | "broken") => void,
    ): EngineCall {
        const call: EngineCall = {
            job,
            priority,
            resumedTokens: job.receivedTokens,
            pendingPrefillTokens: 0,
            prefilledTokens: 0,
            recomputedTokens: 0,
            isPaused: false,
            generatedTokens: 0,
            onToken,
            onEnd: result => {
                this.countWork(call);
                onEnd(result);
            },
        };
        job.sends++;
        this.loop.after(engineProfile.oneWayDelayMs, () => engine.submit(call));
        return call;
    }

    /** Cancels a stream that is no longer needed; its `undelivered` tokens count as wasted. */
    cancel(call: EngineCall, engine: EngineFake, undelivered = 0): void {
        engine.cancel(call);
        this.countWork(call);
        this.wastedTokens += undelivered;
    }

    /** Records a token that is delivered to the caller. */
    receive(job: Job): void {
        const nowMs = this.loop.nowMs + engineProfile.oneWayDelayMs;
        job.receivedTokens++;
        job.firstTokenMs ??= nowMs - job.arrivalMs;
        job.lastTokenMs = nowMs;
    }

    finish(job: Job, outcome: "done" | "refused" | "failed"): void {
        job.outcome = outcome;
        job.endMs = this.loop.nowMs;
    }

    /** Adds the work of a stream to the counters. Prefill counts as wasted if it repeats that of an interrupted stream or if the stream generated no token. */
    private countWork(call: EngineCall): void {
        this.workedTokens += call.prefilledTokens + call.generatedTokens;
        this.wastedTokens += call.recomputedTokens;
        if (call.job.sends > 1 && call.resumedTokens > 0) {
            this.wastedTokens += call.prefilledTokens;
        }
        if (call.generatedTokens === 0) {
            this.wastedTokens += call.resumedTokens > 0 ? 0 : call.prefilledTokens;
        }
    }

    private scheduleReports(): void {
        const report = () => {
            for (const engine of this.engines) {
                const { load } = engine;
                this.loop.after(engineProfile.reportDelayMs, () => {
                    engine.reportedLoad = load;
                });
            }
            this.loop.after(engineProfile.reportIntervalMs, report);
        };
        this.loop.after(0, report);
    }

    private scheduleFaults(): void {
        for (const slowdown of this.workload.slowdowns) {
            const set = (factor: number) => slowdown.engines.forEach(index => this.setSlowdown(index, factor));
            this.loop.after(slowdown.fromMs, () => set(slowdown.factor));
            this.loop.after(slowdown.toMs, () => set(1));
        }
        for (const crash of this.workload.crashes) {
            this.loop.after(crash.fromMs, () => this.engines[crash.engine]?.crash());
            this.loop.after(crash.toMs, () => this.restart(crash.engine));
        }
        for (const cut of this.workload.cuts) {
            const notifyListeners = () => this.listeners.forEach(listener => listener());
            this.loop.after(cut.fromMs, () => this.breakCrossZoneStreams());
            this.loop.after(cut.fromMs + responseTimeoutMs, notifyListeners);
            this.loop.after(cut.toMs + responseTimeoutMs, notifyListeners);
        }
    }

    /** Silences streams between zones that no longer reach each other; their callers detect the loss after `cutDetectionMs`. */
    private breakCrossZoneStreams(): void {
        for (const engine of this.engines) {
            const crossing = engine.calls.filter(call => !this.isConnected(call.job.zone, engine.zone));
            for (const call of crossing) {
                engine.cancel(call);
                this.loop.after(cutDetectionMs, () => call.onEnd("broken"));
            }
        }
    }

    private setSlowdown(index: number, factor: number): void {
        const engine = this.engines[index];
        if (engine !== undefined) {
            engine.slowdownFactor = factor;
        }
    }

    private restart(index: number): void {
        const engine = this.engines[index];
        if (engine !== undefined) {
            engine.isDown = false;
        }
    }
}
