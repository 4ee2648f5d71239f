import { ok } from "neverthrow";
import { computeFollowerTiming } from "../../../core/relay/computeFollowerTiming.js";
import { exampleConfig } from "../../../core/relay/testing/exampleConfig.js";
import { exampleUpstream } from "../../../core/relay/testing/exampleUpstream.js";
import { createSeededRandom } from "../../../core/util/createSeededRandom.js";
import { VirtualScheduler } from "../../../core/util/VirtualScheduler.js";
import type { KeyedLog } from "../../services/KeyedLog.js";
import type { ForwardedRead } from "../ForwardedRead.js";
import { KeyedLogFollower } from "../KeyedLogFollower.js";
import type { LogSnapshot } from "../LogSnapshot.js";
import { RelayState } from "../RelayState.js";
import { createTestMonitor } from "./createTestMonitor.js";
import { SimulatedKeyedLog } from "./SimulatedKeyedLog.js";

const streams = ["config", "upstreams"] as const;
type Stream = typeof streams[number];

interface SimulatedVm {
    readonly name: string;
    readonly startMs: number;
    stopMs: number;
    /** Whether the VM cannot reach the store around the restore; it reaches the other VMs. */
    readonly isCutOff: boolean;
    readonly state: RelayState;
    readonly followers: Readonly<Record<Stream, KeyedLogFollower>>;
    /** What the VM has believed so far. */
    configVersion: number;
    readonly available: Set<string>;
    readonly leftUpstreams: Set<string>;
}

/** An upstream as it is, whatever the log holds. */
interface SimulatedUpstream {
    readonly id: string;
    readonly startedMs: number;
    revision: number;
    isDraining: boolean;
    isGone: boolean;
    /** When the log has accepted its newest entry. */
    writtenMs: number;
}

interface RestoreResult {
    /** The first failure of each kind, and the number of failures. */
    readonly failures: readonly string[];
    /** How long each VM took from the return of the log until it followed its new epoch in both streams. */
    readonly adoptedMs: readonly number[];
    /** Calls of the log in the second after its return. */
    readonly callsAfterReturn: number;
}

/** Time limit for applying a configuration, and for sending nothing to a draining upstream. */
const changeLimitMs = 2_000;
/** A VM is bound by the time limits again this long after its start or the return of the log. */
const settleMs = 3_000;
const rewriteMs = 2_000;
const heartbeatMs = 1_200;
const drainMs = 5_000;
const endMs = 22_000;
const checkIntervalMs = 100;
const { configReadWaitMs, upstreamsReadPauseMs, ...silenceTimeouts } = computeFollowerTiming(changeLimitMs);
const followerTiming = {
    config: { ...silenceTimeouts, waitMs: configReadWaitMs, readPauseMs: 0, startupDelayMs: 1_500 },
    upstreams: { ...silenceTimeouts, waitMs: 0, readPauseMs: upstreamsReadPauseMs, startupDelayMs: 1_500 },
};

/**
 * Simulates a fleet that follows a log which is away for a moment and comes back from an older copy, once or twice, while the reader may be killed,
 * VMs are cut off from the log, and others start. Checks what each VM believes against what the operator and the upstreams have written.
 */
export async function simulateRestores(seed: number, vmCount: number): Promise<RestoreResult> {
    const simulation = new RestoreSimulation(seed, vmCount);
    await simulation.run();
    return simulation.result;
}

class RestoreSimulation {
    private readonly random: () => number;
    private readonly scheduler = new VirtualScheduler();
    private readonly controller = new AbortController();
    private readonly logs = {
        config: new SimulatedKeyedLog(this.scheduler, this.controller.signal),
        upstreams: new SimulatedKeyedLog(this.scheduler, this.controller.signal),
    };
    /** Lengths of the logs at each moment, for copies. */
    private readonly lengths: { readonly atMs: number; readonly config: number; readonly upstreams: number; }[] = [];
    private readonly upstreams: SimulatedUpstream[] = [];
    private readonly vms: SimulatedVm[] = [];
    private readonly failures = new Map<string, { readonly first: string; count: number; }>();
    private readonly adoptedMs: number[] = [];
    private readonly outage: { readonly startMs: number; readonly endMs: number; };
    private version = 0;
    private versionWrittenMs = 0;
    /** Last time at which the log was away. */
    private returnedMs = 0;
    private callsAfterReturn = 0;

    constructor(seed: number, private readonly vmCount: number) {
        this.random = createSeededRandom(seed);
        const startMs = this.between(8_000, 11_000);
        this.outage = { startMs, endMs: startMs + (this.random() < 0.4 ? this.between(20, 200) : this.between(200, 2_500)) };
    }

    get result(): RestoreResult {
        const failures = [...this.failures].map(([kind, { first, count }]) => `${kind}: ${count} times, first ${first}`);
        return { failures, adoptedMs: this.adoptedMs, callsAfterReturn: this.callsAfterReturn };
    }

    async run(): Promise<void> {
        const { startMs, endMs: returnMs } = this.outage;
        for (let index = 0; index < 20; index++) {
            this.startUpstream(0);
        }
        this.writeConfig();
        this.createVms();
        this.repeat(() => this.between(400, 1_500), () => this.isAway ? undefined : this.writeConfig());
        this.repeat(() => this.between(300, 900), () => {
            this.changeUpstream();
        });
        this.scheduler.every(20, () => {
            const { config, upstreams } = this.logs;
            this.lengths.push({ atMs: this.scheduler.nowMs(), config: config.records.length, upstreams: upstreams.records.length });
        }, this.controller.signal);
        this.planRestore(startMs, returnMs, this.between(100, 4_000));
        if (this.random() < 0.3) {
            const secondMs = returnMs + this.between(500, 2_500);
            this.planRestore(secondMs, secondMs + this.between(20, 400), this.between(100, 1_000));
        }
        if (this.random() < 0.4) {
            this.scheduler.after(returnMs + this.between(-300, 600), () => {
                const reader = this.vms.find(vm => this.isRunning(vm) && this.computeRank(vm) === 0);
                if (reader !== undefined) {
                    reader.stopMs = this.scheduler.nowMs();
                }
            }, this.controller.signal);
        }
        while (this.scheduler.nowMs() < endMs) {
            await this.scheduler.advanceAsync(checkIntervalMs);
            for (const vm of this.vms.filter(vm => this.isRunning(vm))) {
                this.check(vm);
            }
        }
        this.controller.abort();
    }

    private get isAway(): boolean {
        return this.logs.config.isDown;
    }

    private isRunning({ startMs, stopMs }: SimulatedVm): boolean {
        return startMs <= this.scheduler.nowMs() && this.scheduler.nowMs() < stopMs;
    }

    private planRestore(startMs: number, returnMs: number, copyAgeMs: number): void {
        const { signal } = this.controller;
        this.scheduler.after(startMs, () => {
            this.logs.config.isDown = this.logs.upstreams.isDown = true;
        }, signal);
        this.scheduler.after(returnMs, () => {
            const copy = this.lengths.findLast(({ atMs }) => atMs <= startMs - copyAgeMs);
            this.logs.config.isDown = this.logs.upstreams.isDown = false;
            this.logs.config.restore(copy?.config ?? 0);
            this.logs.upstreams.restore(copy?.upstreams ?? 0);
            this.returnedMs = returnMs;
            this.callsAfterReturn = 0;
            this.writeAgain();
            this.watchAdoption();
        }, signal);
    }

    /** The operator and the upstreams write again what the copy lacks. */
    private writeAgain(): void {
        const { version } = this;
        this.scheduler.after(this.between(0, rewriteMs), () => {
            if (this.version === version && !this.isAway) {
                this.versionWrittenMs = this.scheduler.nowMs();
                this.logs.config.append("config", String(version));
            }
        }, this.controller.signal);
        for (const upstream of this.upstreams) {
            this.scheduler.after(this.between(0, rewriteMs), () => {
                this.writeEntry(upstream);
            }, this.controller.signal);
        }
    }

    private watchAdoption(): void {
        const { epoch } = this.logs.config;
        const waiting = new Set(this.vms.filter(vm => this.isRunning(vm)));
        const { returnedMs } = this;
        this.scheduler.every(5, () => {
            for (const vm of waiting) {
                if (streams.every(stream => vm.followers[stream].epoch === epoch && vm.followers[stream].nextOffset !== undefined)) {
                    waiting.delete(vm);
                    this.adoptedMs.push(Math.round(this.scheduler.nowMs() - returnedMs));
                }
            }
        }, this.controller.signal);
    }

    private writeConfig(): void {
        this.version++;
        this.versionWrittenMs = this.scheduler.nowMs();
        this.logs.config.append("config", String(this.version));
    }

    private startUpstream(nowMs: number): void {
        const upstream = {
            id: `u${this.upstreams.length}`,
            startedMs: nowMs,
            revision: 0,
            isDraining: false,
            isGone: false,
            writtenMs: nowMs,
        };
        this.upstreams.push(upstream);
        this.writeEntry(upstream);
        this.scheduler.after(this.between(0, heartbeatMs), () => {
            this.scheduler.every(heartbeatMs, () => {
                this.writeEntry(upstream);
            }, this.controller.signal);
        }, this.controller.signal);
    }

    private writeEntry(upstream: SimulatedUpstream): void {
        if (!upstream.isGone && !this.isAway) {
            upstream.revision++;
            upstream.writtenMs = this.scheduler.nowMs();
            const value = `${upstream.startedMs + 1} ${upstream.revision} ${upstream.isDraining ? "draining" : "ready"}`;
            this.logs.upstreams.append(upstream.id, value);
        }
    }

    /** An upstream starts, or drains and leaves a while later. */
    private changeUpstream(): void {
        const live = this.upstreams.filter(({ isDraining, isGone }) => !isDraining && !isGone);
        const leaving = live[Math.floor(this.random() * live.length)];
        if (this.random() < 0.5 || leaving === undefined || live.length < 8) {
            this.startUpstream(this.scheduler.nowMs());
            return;
        }
        leaving.isDraining = true;
        this.writeEntry(leaving);
        this.scheduler.after(drainMs, () => {
            this.removeUpstream(leaving);
        }, this.controller.signal);
    }

    private removeUpstream(upstream: SimulatedUpstream): void {
        upstream.isGone = true;
        const remove = () => {
            if (this.isAway) {
                this.scheduler.after(100, remove, this.controller.signal);
                return;
            }
            this.logs.upstreams.append(upstream.id, undefined);
        };
        remove();
        // The entry in a copy expires again.
        this.scheduler.every(3 * heartbeatMs, () => {
            if (!this.isAway && this.logs.upstreams.newestBefore(upstream.id, Infinity)?.value !== undefined) {
                this.logs.upstreams.append(upstream.id, undefined);
            }
        }, this.controller.signal);
    }

    private createVms(): void {
        const { startMs, endMs: returnMs } = this.outage;
        for (let index = 0; index < this.vmCount + 2; index++) {
            const isLate = index >= this.vmCount;
            const vm = this.createVm(`vm-${index}`, isLate ? this.between(startMs - 500, returnMs + 1_000) : this.between(0, 300));
            this.vms.push(vm);
            this.scheduler.after(vm.startMs, () => {
                for (const stream of streams) {
                    void vm.followers[stream].run(this.controller.signal);
                }
            }, this.controller.signal);
        }
    }

    private createVm(name: string, startMs: number): SimulatedVm {
        const { scheduler, controller: { signal } } = this;
        const unusedSource = undefined as never;
        const state = new RelayState({
            scheduler,
            signal,
            config: { source: unusedSource, key: "config", decode: value => ok(exampleConfig({ version: BigInt(String(value)) })) },
            upstreams: {
                source: unusedSource,
                decode: (id, value) => {
                    const [startedWallMs, revision, entryState] = String(Buffer.from(value)).split(" ");
                    const isDraining = entryState === "draining";
                    return ok(exampleUpstream(id, { startedWallMs: Number(startedWallMs), revision: Number(revision), isDraining }));
                },
                minExpiryMs: 3 * heartbeatMs,
                maxGraceMs: settleMs,
            },
            onConfig: () => undefined,
            onUpstreamRemoved: () => undefined,
            onEntryIgnored: () => undefined,
        });
        const vm: SimulatedVm = {
            name,
            startMs,
            stopMs: Infinity,
            isCutOff: this.random() < 0.1,
            state,
            followers: {
                config: this.createFollower("config", () => vm, (...read) => state.applyConfigRecords(...read)),
                upstreams: this.createFollower("upstreams", () => vm, (...read) => state.applyUpstreamRecords(...read)),
            },
            configVersion: 0,
            available: new Set(),
            leftUpstreams: new Set(),
        };
        return vm;
    }

    private createFollower(
        stream: Stream,
        getVm: () => SimulatedVm,
        onRecords: ConstructorParameters<typeof KeyedLogFollower>[0]["onRecords"],
    ): KeyedLogFollower {
        return new KeyedLogFollower({
            ...followerTiming[stream],
            name: stream,
            source: this.createSource(stream, getVm),
            scheduler: this.scheduler,
            nextReadDueMs: () => stream === "upstreams" ? getVm().state.directory.lastReadDueMs : undefined,
            readerRank: () => this.computeRank(getVm()),
            onRecords,
            onRead: (read, records) => {
                this.forward(getVm(), stream, { ...read, records });
                return this.vms.length - 1;
            },
            onRestored: () => undefined,
            onOutage: startedMs => {
                if (stream === "upstreams") {
                    getVm().state.recordListOutage(startedMs);
                }
            },
            onReadable: startedMs => {
                if (stream === "upstreams") {
                    getVm().state.recordListRead(startedMs);
                }
            },
            monitor: createTestMonitor(() => this.scheduler.nowMs()),
            snapshotWaitMs: 300,
            requestSnapshot: from => this.requestSnapshot(getVm(), stream, from),
        });
    }

    private createSource(stream: Stream, getVm: () => SimulatedVm): KeyedLog {
        const log = this.logs[stream];
        const connect = () => {
            this.callsAfterReturn += this.scheduler.nowMs() < this.returnedMs + 1_000 ? 1 : 0;
            const vm = getVm();
            const nowMs = this.scheduler.nowMs();
            const isCut = vm.isCutOff && nowMs > this.outage.startMs - 500 && nowMs < this.outage.endMs + 4_000;
            const target = isCut || !this.isRunning(vm) ? this.unreachableLog : log;
            return target.connect({
                delayMs: () => this.randomDelayMs(300),
                handle: task => {
                    task();
                },
            });
        };
        return {
            readNewest: signal => connect().readNewest(signal),
            readChanges: (offset, waitMs, signal) => connect().readChanges(offset, waitMs, signal),
        };
    }

    private get unreachableLog(): SimulatedKeyedLog {
        const log = new SimulatedKeyedLog(this.scheduler, this.controller.signal);
        log.isDown = true;
        return log;
    }

    /** Place of a VM among those that are known to run: the others learn of a start after a second, and of a kill after two. */
    private computeRank(vm: SimulatedVm): number {
        const nowMs = this.scheduler.nowMs();
        const known = this.vms.filter(other => other.startMs + 1_000 <= nowMs && nowMs < other.stopMs + 2_000);
        return known.includes(vm) ? known.indexOf(vm) : Infinity;
    }

    private forward(vm: SimulatedVm, stream: Stream, read: ForwardedRead): void {
        if (!this.isRunning(vm)) {
            return;
        }
        const nowMs = this.scheduler.nowMs();
        for (const other of this.vms.filter(other => other !== vm && this.isRunning(other))) {
            const deliveryMs = nowMs + this.randomDelayMs(200);
            this.scheduler.after(deliveryMs - nowMs, () => {
                if (this.isRunning(other)) {
                    other.followers[stream].receiveFromPeer(vm.name, read);
                }
            }, this.controller.signal);
        }
    }

    private async requestSnapshot(vm: SimulatedVm, stream: Stream, from: string | undefined): Promise<LogSnapshot | undefined> {
        const candidates = this.vms.filter(other => other !== vm && this.isRunning(other) && (from ?? other.name) === other.name);
        const source = candidates[Math.floor(this.random() * candidates.length)];
        await this.sleep(this.randomDelayMs(100));
        const snapshot = source?.followers[stream].getSnapshot();
        await this.sleep(this.randomDelayMs(100));
        return snapshot;
    }

    private check(vm: SimulatedVm): void {
        const nowMs = this.scheduler.nowMs();
        const version = Number(vm.state.routeTable?.version ?? 0);
        if (version < vm.configVersion) {
            this.recordFailure("configuration went back", vm, `from ${vm.configVersion} to ${version}`);
        }
        vm.configVersion = version;
        const isSettled = nowMs >= vm.startMs + settleMs && !this.isAway && nowMs >= this.returnedMs + settleMs;
        const isBound = isSettled || nowMs >= vm.startMs + settleMs && nowMs < this.outage.startMs;
        if (isBound && nowMs > this.versionWrittenMs + changeLimitMs && version < this.version) {
            this.recordFailure("configuration not applied in time", vm, `${version}, not ${this.version}`);
        }
        const available = new Set(vm.state.directory.available("orders").map(({ id }) => id));
        for (const { id, isDraining, isGone, startedMs, writtenMs } of this.upstreams) {
            const mayTakeCalls = !isDraining && !isGone;
            if (mayTakeCalls) {
                const isListed = vm.available.has(id) || isBound && nowMs > startedMs + changeLimitMs && nowMs > writtenMs + changeLimitMs;
                if (isListed && !available.has(id)) {
                    this.recordFailure("live upstream missing", vm, id);
                }
            }
            else if (vm.leftUpstreams.has(id) && available.has(id)) {
                this.recordFailure("left upstream used again", vm, id);
            }
            if (!mayTakeCalls && !available.has(id) && vm.available.has(id)) {
                vm.leftUpstreams.add(id);
            }
            if (isBound && isDraining && !isGone && nowMs > writtenMs + changeLimitMs && available.has(id)) {
                this.recordFailure("draining upstream used", vm, id);
            }
        }
        for (const id of available) {
            vm.available.add(id);
        }
    }

    private recordFailure(kind: string, vm: SimulatedVm, reason: string): void {
        const { startMs, endMs: returnMs } = this.outage;
        const failure = this.failures.get(kind) ?? {
            first:
                `at ${this.scheduler.nowMs().toFixed()} ms on ${vm.name} (log away ${startMs.toFixed()} to ${returnMs.toFixed()} ms, VM started at ${vm.startMs.toFixed()} ms, ${
                    vm.isCutOff ? "" : "not "
                }cut off): ${reason}`,
            count: 0,
        };
        failure.count++;
        this.failures.set(kind, failure);
    }

    private repeat(intervalMs: () => number, task: () => void): void {
        this.scheduler.after(intervalMs(), () => {
            if (this.scheduler.nowMs() < endMs - 4_000) {
                task();
                this.repeat(intervalMs, task);
            }
        }, this.controller.signal);
    }

    private sleep(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            this.scheduler.after(delayMs, resolve, this.controller.signal);
        });
    }

    private between(low: number, high: number): number {
        return low + this.random() * (high - low);
    }

    /** Short as a rule, and sometimes long. */
    private randomDelayMs(maxMs: number): number {
        return this.random() < 0.1 ? this.between(20, maxMs) : this.between(1, 20);
    }
}
