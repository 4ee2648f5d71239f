import { createSeededRandom } from "../../util/createSeededRandom.js";
import { VirtualScheduler } from "../../util/VirtualScheduler.js";
import type { EngineDisturbance } from "./EngineDisturbance.js";
import { FleetMeasurement } from "./FleetMeasurement.js";
import type { FleetMessage } from "./FleetMessage.js";
import type { FleetModelOptions } from "./FleetModelOptions.js";
import type { FleetModelResult } from "./FleetModelResult.js";
import type { ModelAttempt } from "./ModelAttempt.js";
import type { ModelCall } from "./ModelCall.js";
import { ModelEngine } from "./ModelEngine.js";
import { ModelVm } from "./ModelVm.js";
import { PromptPartSource } from "./PromptPartSource.js";

const engineLinkMs = 1;
const minMessageMs = 1;
const maxMessageMs = 6;
const crashCheckMs = 50;
const engineRestartMs = 3_000;
const callerRepeatMs = 500;
const maxProbeJitter = 0.5;

/** Simulates VMs that send calls to engines, some of which crash on certain parts of prompts. */
export function simulateFleet(options: FleetModelOptions): FleetModelResult {
    return new FleetModel(options).run();
}

class FleetModel {
    private readonly random: () => number;
    private readonly scheduler = new VirtualScheduler();
    private readonly controller = new AbortController();
    private readonly source: PromptPartSource;
    private readonly measurement = new FleetMeasurement();
    private readonly engines: readonly ModelEngine[];
    private readonly vms: readonly ModelVm[];
    /** Attempts that wait for their first event, by VM. */
    private readonly waiting: readonly Set<ModelAttempt>[];
    private readonly begunListeners = new Map<ModelCall, () => void>();

    constructor(private readonly options: FleetModelOptions) {
        this.random = createSeededRandom(options.seed);
        this.source = new PromptPartSource(this.random);
        this.engines = [...Array(options.engineCount).keys()].map(index =>
            new ModelEngine(
                index,
                options.slotsPerEngine,
                options.streamMs,
                this.scheduler,
                this.controller.signal,
                attempt => this.beginAnswer(attempt),
            )
        );
        this.waiting = [...Array(options.vmCount).keys()].map(() => new Set());
        this.vms = [...Array(options.vmCount).keys()].map(index =>
            new ModelVm(
                this.scheduler,
                Math.floor(this.random() * 100_000),
                this.random() * maxProbeJitter,
                message => this.broadcast(index, message),
                partIds => this.abortWaiting(index, partIds),
            )
        );
    }

    run(): FleetModelResult {
        const { durationMs, vmRestartsMs, disturbances } = this.options;
        disturbances.forEach(disturbance => this.schedule(disturbance));
        for (const atMs of vmRestartsMs) {
            this.after(atMs, () => this.restartVm());
        }
        this.after(0, () => this.generateCalls());
        this.scheduler.advance(durationMs);
        this.controller.abort();
        return this.measurement.summarize(this.options);
    }

    private after(delayMs: number, callback: () => void): void {
        this.scheduler.after(delayMs, callback, this.controller.signal);
    }

    private generateCalls(): void {
        const arrivedMs = this.scheduler.nowMs();
        let remaining = this.random();
        const deadly = this.options.deadlyParts.find(({ share }) => (remaining -= share) < 0);
        const call = { partIds: this.source.next(deadly?.id), isSound: deadly === undefined, arrivedMs, isRepeated: false };
        if (call.isSound) {
            this.begunListeners.set(call, this.measurement.addSoundCall(call.partIds, arrivedMs));
        }
        this.receiveCall(call);
        this.after(-Math.log(1 - this.random()) * 1_000 / this.options.callRate, () => this.generateCalls());
    }

    private receiveCall(call: ModelCall): void {
        this.send(call, Math.floor(this.random() * this.vms.length), 1);
    }

    private send(call: ModelCall, vm: number, attempt: number): void {
        const admission = this.options.isQuarantineUsed ? this.vms[vm]?.admit(call.partIds) : undefined;
        if (admission?.kind === "quarantined") {
            if (call.isSound) {
                this.measurement.addSoundRefusal(admission.partId, this.scheduler.nowMs());
            }
            this.repeat(call);
            return;
        }
        const engine = this.chooseEngine(call.partIds);
        if (engine === undefined) {
            this.repeat(call);
            return;
        }
        if (!call.isSound) {
            this.measurement.addDeadlySent(this.scheduler.nowMs());
        }
        const sent: ModelAttempt = { call, engine, vm, sentMs: this.vms[vm]?.nowMs() ?? 0, attempt, state: "waiting" };
        this.waiting[vm]?.add(sent);
        engine.add(sent);
    }

    /** The engine that is expected to answer first; as the router, it favours those that have the parts cached. */
    private chooseEngine(partIds: readonly string[]): ModelEngine | undefined {
        let chosen: ModelEngine | undefined;
        let shortestMs = Infinity;
        for (const engine of this.engines) {
            const waitMs = engine.estimateWaitMs(partIds) + this.random();
            if (engine.isUp && waitMs < shortestMs) {
                chosen = engine;
                shortestMs = waitMs;
            }
        }
        return chosen;
    }

    private beginAnswer(attempt: ModelAttempt): void {
        const { call, engine, vm } = attempt;
        const nowMs = this.scheduler.nowMs();
        if (this.options.deadlyParts.some(({ id, fromMs, untilMs }) => call.partIds.includes(id) && nowMs >= fromMs && nowMs < untilMs)) {
            this.measurement.addDeadlyCrash(nowMs);
            this.crash(engine);
            return;
        }
        engine.begin(attempt);
        this.after(engineLinkMs, () => {
            this.waiting[vm]?.delete(attempt);
            this.vms[vm]?.reportAnswer(call.partIds);
            this.measurement.addAnswer(call.partIds, call.isSound);
            if (attempt.attempt === 1 && !call.isRepeated) {
                this.begunListeners.get(call)?.();
            }
        });
    }

    private crash(engine: ModelEngine): void {
        if (!engine.isUp) {
            return;
        }
        this.measurement.crashes++;
        const { key } = engine;
        const victims = engine.crash();
        this.after(engineRestartMs, () => engine.restart());
        for (const [vm, attempts] of Map.groupBy(victims, ({ vm }) => vm)) {
            this.after(engineLinkMs, () => this.breakAttempts(vm, engine, key, attempts));
        }
    }

    private breakAttempts(vm: number, engine: ModelEngine, key: string, attempts: readonly ModelAttempt[]): void {
        const brokenMs = this.vms[vm]?.nowMs() ?? 0;
        const unanswered = attempts.filter(({ state }) => state === "waiting");
        this.after(crashCheckMs, () => {
            if (!engine.isUp && unanswered.length > 0) {
                const calls = unanswered.map(({ call, sentMs }) => ({ partIds: call.partIds, sentMs }));
                this.vms[vm]?.reportCrash(key, brokenMs, calls);
            }
        });
        for (const attempt of attempts) {
            if (attempt.state !== "ended") {
                this.fail(attempt);
            }
        }
    }

    private fail(attempt: ModelAttempt): void {
        const { call, vm } = attempt;
        attempt.state = "ended";
        this.waiting[vm]?.delete(attempt);
        if (attempt.attempt < this.options.maxAttempts) {
            this.after(this.random() * 3, () => this.send(call, vm, attempt.attempt + 1));
        }
        else {
            this.repeat(call);
        }
    }

    /** Lets the caller repeat a call that failed or was refused, once. */
    private repeat(call: ModelCall): void {
        if (!call.isRepeated) {
            this.after(callerRepeatMs * (0.5 + this.random()), () => this.receiveCall({ ...call, isRepeated: true }));
        }
    }

    private abortWaiting(vm: number, partIds: readonly string[]): void {
        if (!this.options.isQuarantineUsed) {
            return;
        }
        for (const attempt of this.waiting[vm] ?? []) {
            const partId = attempt.call.partIds.find(id => partIds.includes(id));
            if (partId !== undefined && attempt.state === "waiting") {
                this.waiting[vm]?.delete(attempt);
                this.after(engineLinkMs, () => this.refuseAborted(attempt, partId));
            }
        }
    }

    private refuseAborted(attempt: ModelAttempt, partId: string): void {
        if (attempt.state === "waiting") {
            attempt.state = "ended";
            if (attempt.call.isSound) {
                this.measurement.addSoundRefusal(partId, this.scheduler.nowMs());
            }
            this.repeat(attempt.call);
        }
    }

    private broadcast(from: number, message: FleetMessage): void {
        this.vms.forEach((vm, index) => {
            if (index === from) {
                return;
            }
            this.measurement.messages++;
            if (this.random() >= this.options.lossShare) {
                this.after(this.drawMessageMs(), () => vm.receive(message));
            }
        });
    }

    private drawMessageMs(): number {
        return this.options.hops * minMessageMs + this.random() * (maxMessageMs - minMessageMs) * this.options.hops;
    }

    private restartVm(): void {
        this.vms[0]?.restart();
        const message = this.vms[1]?.takeSnapshot();
        if (message !== undefined) {
            this.after(this.drawMessageMs(), () => this.vms[0]?.receive(message));
        }
    }

    private schedule(disturbance: EngineDisturbance): void {
        switch (disturbance.kind) {
            case "crash":
                this.after(disturbance.atMs, () => this.crashAll(disturbance.engines));
                return;
            case "flap":
                for (let atMs = disturbance.fromMs, turn = 0; atMs < disturbance.untilMs; atMs += disturbance.periodMs, turn++) {
                    const engine = disturbance.engines[turn % disturbance.engines.length] ?? 0;
                    this.after(atMs, () => this.crashAll([engine]));
                }
                return;
            case "reset":
                this.after(disturbance.atMs, () => this.resetConnections(disturbance.vm, disturbance.engine));
        }
    }

    private crashAll(indexes: readonly number[]): void {
        for (const index of indexes) {
            const engine = this.engines[index];
            if (engine !== undefined) {
                this.crash(engine);
            }
        }
    }

    private resetConnections(vm: number, index: number): void {
        const engine = this.engines[index];
        const attempts = [...this.waiting[vm] ?? []].filter(attempt => attempt.engine === engine);
        if (engine !== undefined) {
            this.breakAttempts(vm, engine, engine.key, attempts);
        }
    }
}
