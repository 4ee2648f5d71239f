import { ok } from "neverthrow";
import { computeFollowerTiming } from "../../../core/relay/computeFollowerTiming.js";
import { exampleConfig } from "../../../core/relay/testing/exampleConfig.js";
import { exampleUpstream } from "../../../core/relay/testing/exampleUpstream.js";
import { computeRendezvousRank } from "../../../core/util/computeRendezvousRank.js";
import { createSeededRandom } from "../../../core/util/createSeededRandom.js";
import { VirtualScheduler } from "../../../core/util/VirtualScheduler.js";
import type { KeyedLog } from "../../services/KeyedLog.js";
import type { KeyedRecord } from "../../services/KeyedRecord.js";
import type { ForwardedRead } from "../ForwardedRead.js";
import { KeyedLogFollower } from "../KeyedLogFollower.js";
import type { LogSnapshot } from "../LogSnapshot.js";
import { RelayState } from "../RelayState.js";
import { createTestMonitor } from "./createTestMonitor.js";
import { SimulatedKeyedLog } from "./SimulatedKeyedLog.js";
import { SimulatedProcessor } from "./SimulatedProcessor.js";

const streams = ["config", "upstreams"] as const;
type Stream = typeof streams[number];

interface SimulatedVm {
    readonly name: string;
    readonly startMs: number;
    readonly processor: SimulatedProcessor;
    readonly state: RelayState;
    readonly followers: Record<Stream, KeyedLogFollower>;
    /** Time of the last delivery on the link to each VM, as messages on a link stay in order. */
    readonly lastDeliveryMs: Map<string, number>;
    /** Time from which this VM knows another one to be ready. */
    readonly knownReadyMs: Map<string, number>;
    readonly history: Record<Stream, string[]>;
}

/** How often each case occurred in which a record can be lost. */
interface CaseCounts {
    forwarderChanges: number;
    readsOvertakenWholly: number;
    readsOvertakenPartly: number;
    newestPagesBeyondNextOffset: number;
    newUpstreamsOvertaken: number;
    changedUpstreamsOvertaken: number;
    removedUpstreamsOvertaken: number;
    snapshots: number;
}

interface FollowersResult {
    /** The first failure of each invariant and stream with what its VM did before, and the number of failures. */
    readonly failures: readonly string[];
    readonly cases: Readonly<CaseCounts>;
}

const vmCount = 40;
const upstreamCount = 20;
const appendUntilMs = 20_000;
const checkIntervalMs = 250;
/** Time limit for applying a configuration on the large deployments. */
const applyLimitMs = 3_000;
const maxStallMs = 2_000;
/** Longest time from the append of a record until every VM has applied it. */
const boundMs = applyLimitMs + maxStallMs;
const historyLength = 6;
const snapshotWaitMs = 500;
const lostSnapshotShare = 0.1;
const { configReadWaitMs, upstreamsReadPauseMs, ...silenceTimeouts } = computeFollowerTiming(applyLimitMs);
/** The waits and pauses of `RelayVm`. */
const followerTiming = {
    config: { ...silenceTimeouts, waitMs: configReadWaitMs, readPauseMs: 0, startupDelayMs: 1_500 },
    upstreams: { ...silenceTimeouts, waitMs: 0, readPauseMs: upstreamsReadPauseMs, startupDelayMs: 1_500 },
};

/**
 * Simulates VMs short of processor time that follow the configuration and the list of upstreams, and checks that no record is lost: each
 * VM applies each record in time, none moves past a record that it lacks, and a forwarded read holds what its receivers need.
 */
export async function simulateFollowers(seed: number): Promise<FollowersResult> {
    const simulation = new FollowerSimulation(seed);
    await simulation.run();
    return simulation.result;
}

class FollowerSimulation {
    private readonly random: () => number;
    private readonly scheduler = new VirtualScheduler();
    private readonly controller = new AbortController();
    private readonly logs = {
        config: new SimulatedKeyedLog(this.scheduler, this.controller.signal),
        upstreams: new SimulatedKeyedLog(this.scheduler, this.controller.signal),
    };
    private readonly vms: readonly SimulatedVm[];
    private readonly failures = new Map<string, { readonly first: string; count: number; readonly vms: Set<string>; }>();
    private readonly cases: CaseCounts = {
        forwarderChanges: 0,
        readsOvertakenWholly: 0,
        readsOvertakenPartly: 0,
        newestPagesBeyondNextOffset: 0,
        newUpstreamsOvertaken: 0,
        changedUpstreamsOvertaken: 0,
        removedUpstreamsOvertaken: 0,
        snapshots: 0,
    };
    private readonly lastForwarder = new Map<Stream, { readonly vm: string; readonly nowMs: number; }>();
    private lastConfigVersion = 0;
    private lastUpstreamStart = 0;

    constructor(seed: number) {
        this.random = createSeededRandom(seed);
        const names = [...Array(vmCount).keys()].map(index => `vm-${index}`);
        // Two of the first readers start late, so that the duty moves while records are appended.
        this.vms = names.map(name => {
            const rank = computeRendezvousRank("log-reader", name, names);
            return this.createVm(name, rank === 0 || rank === 2 || rank === 20 ? this.between(3_000, 12_000) : this.between(0, 500));
        });
    }

    async run(): Promise<void> {
        const { scheduler, vms } = this;
        for (let index = 0; index < upstreamCount; index++) {
            this.appendUpstream(index);
        }
        this.appendConfig();
        for (const vm of vms) {
            this.schedule(vm.startMs, () => {
                this.start(vm);
            });
        }
        this.repeat(() => this.between(300, 2_500), () => {
            this.appendConfig();
        });
        this.repeat(() => this.between(20, 120), () => {
            this.appendUpstream(Math.floor(this.random() * upstreamCount));
        });
        /** Length of each log at each check. */
        const lengths: Record<Stream, number[]> = { config: [], upstreams: [] };
        for (let checkCount = 0; checkCount <= (appendUntilMs + boundMs) / checkIntervalMs; checkCount++) {
            await scheduler.advanceAsync(checkCount === 0 ? 0 : checkIntervalMs);
            for (const stream of streams) {
                lengths[stream].push(this.logs[stream].records.length);
                const dueOffset = lengths[stream][checkCount - boundMs / checkIntervalMs] ?? 0;
                for (const vm of vms.filter(({ startMs }) => startMs + boundMs <= scheduler.nowMs())) {
                    this.checkApplied("not applied in time", vm, stream, dueOffset);
                }
            }
        }
        this.controller.abort();
    }

    get result(): FollowersResult {
        const failures = [...this.failures].map(([kind, { first, count, vms }]) =>
            `${kind}: ${count} times on ${vms.size} of ${vmCount} VMs, first ${first}`
        );
        return { failures, cases: this.cases };
    }

    private createVm(name: string, startMs: number): SimulatedVm {
        const processor = new SimulatedProcessor(this.scheduler, this.controller.signal);
        const unusedSource = undefined as never;
        const state = new RelayState({
            scheduler: processor,
            signal: this.controller.signal,
            config: { source: unusedSource, key: "config", decode: value => ok(exampleConfig({ version: BigInt(String(value)) })) },
            upstreams: {
                source: unusedSource,
                decode: (id, value) => ok(exampleUpstream(id, decodeUpstreamValue(value))),
                minExpiryMs: 0,
                maxGraceMs: Infinity,
            },
            onConfig: () => undefined,
            onUpstreamRemoved: () => undefined,
            onEntryIgnored: () => undefined,
        });
        const vm: SimulatedVm = {
            name,
            startMs,
            processor,
            state,
            lastDeliveryMs: new Map(),
            knownReadyMs: new Map(),
            history: { config: [], upstreams: [] },
            followers: {
                config: this.createFollower("config", processor, () => vm, (...read) => state.applyConfigRecords(...read)),
                upstreams: this.createFollower(
                    "upstreams",
                    processor,
                    () => vm,
                    (...read) => state.applyUpstreamRecords(...read),
                ),
            },
        };
        return vm;
    }

    private createFollower(
        stream: Stream,
        processor: SimulatedProcessor,
        getVm: () => SimulatedVm,
        apply: ConstructorParameters<typeof KeyedLogFollower>[0]["onRecords"],
    ): KeyedLogFollower {
        return new KeyedLogFollower({
            ...followerTiming[stream],
            name: stream,
            source: this.createSource(stream, processor, getVm),
            scheduler: processor,
            nextReadDueMs: () => undefined,
            readerRank: () => this.computeRank(getVm()),
            onRecords: (...read) => {
                const forwarded = apply(...read);
                this.announceReadiness(getVm());
                this.checkPosition(getVm(), stream);
                return forwarded;
            },
            onRead: (read, forwarded) => {
                this.forward(getVm(), stream, { ...read, records: forwarded });
                return this.vms.length - 1;
            },
            onRestored: () => undefined,
            onOutage: () => undefined,
            onReadable: () => undefined,
            monitor: createTestMonitor(() => processor.nowMs()),
            snapshotWaitMs,
            requestSnapshot: vm => this.requestSnapshot(getVm(), stream, vm),
        });
    }

    /** Wraps the connection to a log, to note what arrives and which cases occur. */
    private createSource(stream: Stream, processor: SimulatedProcessor, getVm: () => SimulatedVm): KeyedLog {
        const source = this.logs[stream].connect({
            delayMs: () => this.randomDelayMs(600),
            handle: task => {
                processor.handle(task);
            },
        });
        return {
            readNewest: signal =>
                source.readNewest(signal).map(read => {
                    this.note(getVm(), stream, `read the newest records, nextOffset ${read.nextOffset}`);
                    this.cases.newestPagesBeyondNextOffset += read.records.some(({ offset }) => offset >= read.nextOffset) ? 1 : 0;
                    return read;
                }),
            readChanges: (offset, waitMs, signal) => {
                const startMs = this.scheduler.nowMs();
                return source.readChanges(offset, waitMs, signal).map(read => {
                    const position = getVm().followers[stream].nextOffset ?? 0;
                    const durationMs = Math.round(this.scheduler.nowMs() - startMs);
                    this.note(getVm(), stream, `read [${offset}, ${read.nextOffset}) in ${durationMs} ms while at ${position}`);
                    this.countOvertaken(stream, offset, Math.min(position, read.nextOffset), read.nextOffset);
                    return read;
                });
            },
        };
    }

    private start(vm: SimulatedVm): void {
        const stallLater = () => {
            this.schedule(this.between(1_000 + 2 * maxStallMs, 14_000), () => {
                vm.processor.stall(this.between(200, maxStallMs));
                stallLater();
            });
        };
        stallLater();
        for (const stream of streams) {
            void vm.followers[stream].run(this.controller.signal);
        }
    }

    private announceReadiness(vm: SimulatedVm): void {
        if (vm.state.isReady && !vm.knownReadyMs.has(vm.name)) {
            for (const other of this.vms) {
                other.knownReadyMs.set(vm.name, this.scheduler.nowMs() + (other === vm ? 0 : this.between(50, 1_000)));
            }
        }
    }

    private computeRank(vm: SimulatedVm): number {
        const ready = [...vm.knownReadyMs].filter(([, readyMs]) => readyMs <= this.scheduler.nowMs()).map(([name]) => name);
        return computeRendezvousRank("log-reader", vm.name, ready);
    }

    private forward(vm: SimulatedVm, stream: Stream, read: ForwardedRead): void {
        const nowMs = this.scheduler.nowMs();
        const last = this.lastForwarder.get(stream);
        this.cases.forwarderChanges += last !== undefined && last.vm !== vm.name && nowMs - last.nowMs < 500 ? 1 : 0;
        this.lastForwarder.set(stream, { vm: vm.name, nowMs });
        this.note(vm, stream, `forwards ${describe(read)}`);
        this.checkForwarded(vm, stream, read);
        for (const other of this.vms.filter(({ name, startMs }) => name !== vm.name && startMs <= nowMs)) {
            const deliveryMs = Math.max(nowMs + this.randomDelayMs(400), vm.lastDeliveryMs.get(other.name) ?? 0);
            vm.lastDeliveryMs.set(other.name, deliveryMs);
            this.schedule(deliveryMs - nowMs, () => {
                other.processor.handle(() => {
                    this.note(other, stream, `receives ${describe(read)} of ${vm.name} while at ${other.followers[stream].nextOffset}`);
                    other.followers[stream].receiveFromPeer(vm.name, read);
                    this.checkPosition(other, stream);
                });
            });
        }
    }

    /** Requests a snapshot from a VM, or from any other one that has started; its answer may be lost. */
    private async requestSnapshot(vm: SimulatedVm, stream: Stream, from: string | undefined): Promise<LogSnapshot | undefined> {
        const candidates = this.vms.filter(other =>
            other !== vm && other.startMs <= this.scheduler.nowMs() && (from === undefined || other.name === from)
        );
        const source = candidates[Math.floor(this.random() * candidates.length)];
        if (source === undefined) {
            return undefined;
        }
        const snapshot = await this.transfer(source.processor, () => source.followers[stream].getSnapshot());
        const received = await this.transfer(vm.processor, () => this.random() < lostSnapshotShare ? undefined : snapshot);
        if (received !== undefined) {
            this.cases.snapshots++;
            this.note(vm, stream, `receives the newest records of ${source.name}, nextOffset ${received.nextOffset}`);
        }
        return received;
    }

    /** Runs a task on a VM after the delay of a link. */
    private transfer<T>(processor: SimulatedProcessor, task: () => T): Promise<T> {
        return new Promise(resolve => {
            this.schedule(this.randomDelayMs(400), () => {
                processor.handle(() => {
                    resolve(task());
                });
            });
        });
    }

    private checkPosition(vm: SimulatedVm, stream: Stream): void {
        const { nextOffset } = vm.followers[stream];
        if (nextOffset !== undefined) {
            this.checkApplied("moved past a record that is not applied", vm, stream, nextOffset);
        }
    }

    /** Checks that a VM has applied the newest record of each key before `endOffset`, or a later one. */
    private checkApplied(kind: string, vm: SimulatedVm, stream: Stream, endOffset: number): void {
        const log = this.logs[stream];
        for (const key of log.keys) {
            const applied = this.appliedValue(vm, stream, key);
            const newest = log.newestBefore(key, endOffset);
            const isApplied = asText(newest) === applied
                || log.recordsOf(key).some(record => record.offset >= endOffset && asText(record) === applied);
            if (!isApplied) {
                this.recordFailure(kind, vm, stream, `${key} is ${applied}, not ${asText(newest)} of offset ${newest?.offset}`);
            }
        }
    }

    /** Checks that a receiver at any offset of the forwarded range has the newest record of each key afterwards. */
    private checkForwarded(vm: SimulatedVm, stream: Stream, read: ForwardedRead): void {
        const log = this.logs[stream];
        for (const key of new Set(log.records.slice(read.fromOffset, read.nextOffset).map(record => record.key))) {
            const newest = log.newestBefore(key, read.nextOffset);
            const offsets = log.recordsOf(key).map(record => record.offset).filter(offset =>
                offset > read.fromOffset && offset < read.nextOffset
            );
            const isLost = [read.fromOffset, ...offsets].some(offset => {
                const forwarded = read.records.findLast(record => record.key === key && record.offset >= offset);
                return asText(forwarded ?? log.newestBefore(key, offset)) !== asText(newest);
            });
            if (isLost) {
                this.recordFailure("forwarded without a needed record", vm, stream, `${key} of offset ${newest?.offset}`);
            }
        }
    }

    private appliedValue(vm: SimulatedVm, stream: Stream, key: string): string | undefined {
        return (stream === "config" ? vm.state.routeTable?.version : vm.state.directory.get(key)?.startedWallMs)?.toString();
    }

    private countOvertaken(stream: Stream, fromOffset: number, endOffset: number, nextOffset: number): void {
        if (endOffset <= fromOffset) {
            return;
        }
        this.cases[endOffset === nextOffset ? "readsOvertakenWholly" : "readsOvertakenPartly"]++;
        const log = this.logs[stream];
        for (const record of stream === "upstreams" ? log.records.slice(fromOffset, endOffset) : []) {
            const [before, after] = [asText(log.newestBefore(record.key, record.offset)), asText(record)];
            if (before !== after) {
                const change = before === undefined ? "new" : after === undefined ? "removed" : "changed";
                this.cases[`${change}UpstreamsOvertaken`]++;
            }
        }
    }

    private recordFailure(kind: string, vm: SimulatedVm, stream: Stream, reason: string): void {
        const title = `${stream} ${kind}`;
        const failure = this.failures.get(title) ?? {
            first: `at ${this.scheduler.nowMs().toFixed()} ms on ${vm.name}: ${reason}; ${vm.history[stream].join("; ")}`,
            count: 0,
            vms: new Set<string>(),
        };
        failure.count++;
        failure.vms.add(vm.name);
        this.failures.set(title, failure);
    }

    private note(vm: SimulatedVm, stream: Stream, event: string): void {
        vm.history[stream].push(`${this.scheduler.nowMs().toFixed()} ms ${event}`);
        vm.history[stream].splice(0, vm.history[stream].length - historyLength);
    }

    private appendConfig(): void {
        this.logs.config.append("config", String(++this.lastConfigVersion));
    }

    /** Mostly writes an entry again as it is, as upstreams do all the time; otherwise changes or removes it. */
    private appendUpstream(index: number): void {
        const key = `upstream-${index}`;
        const before = this.logs.upstreams.newestBefore(key, Infinity)?.value;
        const choice = this.random();
        const isRemoved = before !== undefined && choice < 0.1;
        const { startedWallMs, revision } = before !== undefined && choice > 0.4
            ? decodeUpstreamValue(before)
            : { startedWallMs: ++this.lastUpstreamStart, revision: 0 };
        this.logs.upstreams.append(key, isRemoved ? undefined : `${startedWallMs} ${revision + 1}`);
    }

    private repeat(intervalMs: () => number, task: () => void): void {
        this.schedule(intervalMs(), () => {
            if (this.scheduler.nowMs() < appendUntilMs) {
                task();
                this.repeat(intervalMs, task);
            }
        });
    }

    private schedule(delayMs: number, callback: () => void): void {
        this.scheduler.after(delayMs, callback, this.controller.signal);
    }

    private between(low: number, high: number): number {
        return low + this.random() * (high - low);
    }

    /** Short as a rule, and sometimes long, as on a VM that is short of processor time. */
    private randomDelayMs(maxMs: number): number {
        return this.random() < 0.15 ? this.between(30, maxMs) : this.between(1, 30);
    }
}

/** The version of a configuration or the start time of an upstream. */
function asText(record: KeyedRecord | undefined): string | undefined {
    return record?.value === undefined ? undefined : String(Buffer.from(record.value)).split(" ")[0];
}

/** The value of an upstream's record is its start time and revision. */
function decodeUpstreamValue(value: Uint8Array) {
    const [startedWallMs = 0, revision = 0] = String(Buffer.from(value)).split(" ").map(Number);
    return { startedWallMs, revision };
}

function describe({ fromOffset, nextOffset, records }: ForwardedRead): string {
    return `[${fromOffset}, ${nextOffset}) with ${records.map(({ offset }) => offset).join(" ") || "no records"}`;
}
