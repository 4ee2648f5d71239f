import { errAsync, ResultAsync } from "neverthrow";
import { createSeededRandom } from "../../../core/util/createSeededRandom.js";
import type { Scheduler } from "../../../core/util/Scheduler.js";
import { VirtualScheduler } from "../../../core/util/VirtualScheduler.js";
import type { PeerMessage } from "../../../schema/peer/PeerMessage.js";
import { Metrics } from "../../metrics/Metrics.js";
import type { LogError } from "../../services/LogError.js";
import type { DutyReply } from "../DutyReply.js";
import type { UsageLease } from "../UsageLease.js";
import { UsageTask } from "../UsageTask.js";

const windowMs = 5_000;
const epochMs = 1_767_000_000_000;
const leaseMs = 3_000;
const marginMs = 500;
const lookMs = 1_500;
const names = { large: 0.7, middle: 0.95, small: 1 } as const;
const unsure: LogError = { kind: "unknown", firstOffset: undefined, message: "no answer" };

interface SimulationOptions {
    readonly seed: number;
    readonly vms?: number;
    /** Calls a second in the whole fleet; 1 in 20 of them is of the customer `small`. */
    readonly callsPerSecond?: number;
    /** Shares of calls to the store and to the API whose answer is lost after they were carried out, and of calls that fail before. */
    readonly lostShare?: number;
    /** Whether a lease tells when it first saw the epoch that it found at its first read, and not only that of later ones. */
    readonly isFirstEpochTold?: boolean;
}

interface Store {
    records: Map<string, Uint8Array>;
    epoch: number;
    endOffset: number;
    holder: { readonly fencingNumber: number; renewedMs: number; } | undefined;
    /** The lease that was in force before is over by then. */
    freeMs: number;
}

/** One VM with its own clocks; its timers and messages wait while it is suspended. */
class SimulatedVm {
    readonly controller = new AbortController();
    readonly handlers = new Map<string, (from: string, message: never) => unknown>();
    readonly vmScheduler: Scheduler;
    readonly lease: SimulatedLease;
    readonly task: UsageTask;
    readonly metrics = new Metrics();
    clockErrorMs = 0;
    isCut = false;
    isCutFromStore = false;
    private suspendedSinceMs: number | undefined;
    private suspendedMs = 0;
    private waiting: (() => void)[] = [];
    private readonly startedMs: number;
    readonly incarnation: string;

    constructor(readonly name: string, readonly fleet: SimulatedUsageFleet) {
        const { world } = fleet;
        this.incarnation = String(world.nowMs()).padStart(12, "0");
        this.startedMs = world.nowMs() - fleet.random() * 100_000;
        const after: Scheduler["after"] = (delayMs, callback, signal) => {
            world.after(delayMs, () => {
                this.whenRunning(() => {
                    if (!signal.aborted) {
                        callback();
                    }
                });
            }, signal);
        };
        this.vmScheduler = {
            nowMs: () => (this.suspendedSinceMs ?? world.nowMs()) - this.startedMs - this.suspendedMs,
            wallMs: () => epochMs + world.nowMs() + this.clockErrorMs,
            after,
            every: (periodMs, callback, signal) => {
                const repeat = () => {
                    after(periodMs, repeat, signal);
                    callback(0);
                };
                after(fleet.random() * periodMs, repeat, signal);
            },
        };
        this.lease = new SimulatedLease(this);
        this.task = new UsageTask({
            vm: name,
            incarnation: this.incarnation,
            links: {
                send: (to, message) => fleet.deliver(this, to, message),
                request: () => {
                    throw new Error("not used");
                },
                onMessage: (type, handler) => this.handlers.set(type, handler as (from: string, message: never) => unknown),
            },
            membership: {
                get members() {
                    return [...fleet.vms.values()].map(({ name: vm, incarnation }) => ({ vm, incarnation }) as never);
                },
            },
            scheduler: this.vmScheduler,
            lease: this.lease,
            api: {
                reportUsage: (report, duty) => fleet.report(report, duty.fencingNumber),
                orderUpstreams: () => Promise.resolve("rejected"),
            },
            metrics: this.metrics,
            random: fleet.random,
            windowMs,
            lateMs: 10_000,
            rankedVms: () => fleet.rankedVms(),
            fleetSize: () => undefined,
        });
        this.lease.start();
        this.task.start(this.controller.signal);
    }

    get isRunning(): boolean {
        return !this.controller.signal.aborted && this.suspendedSinceMs === undefined;
    }

    whenRunning(callback: () => void): void {
        if (this.suspendedSinceMs === undefined) {
            callback();
        }
        else {
            this.waiting.push(callback);
        }
    }

    suspend(durationMs: number): void {
        const { world } = this.fleet;
        this.suspendedSinceMs = world.nowMs();
        world.after(durationMs, () => {
            this.suspendedMs += durationMs;
            this.suspendedSinceMs = undefined;
            const { waiting } = this;
            this.waiting = [];
            for (const callback of waiting) {
                callback();
            }
        }, this.controller.signal);
    }
}

/** Lease with the timing of the real one, on a store that all VMs share. */
class SimulatedLease implements UsageLease {
    records: ReadonlyMap<string, Uint8Array> = new Map();
    firstSeenEpochMs: number | undefined;
    private knownEpoch: number | undefined;
    private held: { readonly fencingNumber: number; readonly endMs: number; readonly wallOffsetMs: number; } | undefined;
    private listener: () => void = () => undefined;
    private controller = new AbortController();

    constructor(private readonly owner: SimulatedVm) {}

    start(): void {
        this.owner.vmScheduler.every(lookMs / 2, () => {
            this.look();
        }, this.owner.controller.signal);
    }

    onAcquired(listener: () => void): void {
        this.listener = listener;
    }

    getHeld() {
        const { vmScheduler } = this.owner;
        const nowMs = vmScheduler.nowMs();
        const wallOffsetMs = vmScheduler.wallMs() - nowMs;
        if (this.held === undefined || nowMs >= this.held.endMs || Math.abs(wallOffsetMs - this.held.wallOffsetMs) > 200) {
            return undefined;
        }
        return { fencingNumber: this.held.fencingNumber, remainingMs: this.held.endMs - nowMs, signal: this.controller.signal };
    }

    appendWithRenewal(records: readonly { readonly key: string; readonly value: Uint8Array; }[]): ResultAsync<void, LogError> {
        const { fleet, vmScheduler } = this.owner;
        const { world, random, store } = fleet;
        const { held } = this;
        const { endOffset } = store;
        if (held === undefined || this.getHeld() === undefined || store.holder?.fencingNumber !== held.fencingNumber || this.owner.isCut) {
            return errAsync(unsure);
        }
        const startMs = vmScheduler.nowMs();
        const append = () => {
            if (store.endOffset !== endOffset || store.holder?.fencingNumber !== held.fencingNumber) {
                return false;
            }
            store.holder.renewedMs = world.nowMs();
            for (const { key, value } of records) {
                store.records.set(key, value);
            }
            store.endOffset += 1 + records.length;
            return true;
        };
        const { promise, resolve, reject } = Promise.withResolvers<undefined>();
        const isLost = random() < fleet.lostShare;
        const isLate = isLost && random() < 0.5;
        world.after(isLate ? 2_000 * random() : 5, () => {
            const isAppended = append();
            this.owner.whenRunning(() => {
                if (isAppended && !isLost) {
                    this.renew(held.fencingNumber, startMs);
                    resolve(undefined);
                }
            });
        }, new AbortController().signal);
        vmScheduler.after(1_000, () => {
            reject(new Error());
        }, this.owner.controller.signal);
        return ResultAsync.fromPromise(promise, () => unsure);
    }

    private look(): void {
        const { fleet, name, vmScheduler } = this.owner;
        const { store, world } = fleet;
        const isHolder = store.holder?.fencingNumber === this.held?.fencingNumber && this.held !== undefined;
        if (this.owner.isCut || this.owner.isCutFromStore || !isHolder && !fleet.rankedVms().includes(name)) {
            return;
        }
        if (this.knownEpoch !== store.epoch) {
            if (fleet.isFirstEpochTold || this.knownEpoch !== undefined) {
                this.firstSeenEpochMs = vmScheduler.nowMs();
            }
            this.knownEpoch = store.epoch;
        }
        if (isHolder && store.holder !== undefined) {
            store.holder.renewedMs = world.nowMs();
            store.endOffset++;
            this.renew(store.holder.fencingNumber, vmScheduler.nowMs());
            return;
        }
        if (store.holder !== undefined && world.nowMs() - store.holder.renewedMs > leaseMs + marginMs) {
            store.holder = undefined;
        }
        const isOwnEpochOld = vmScheduler.nowMs() - (this.firstSeenEpochMs ?? 0) > leaseMs + marginMs;
        if (store.holder === undefined && world.nowMs() >= store.freeMs && isOwnEpochOld) {
            const fencingNumber = store.epoch * 1e9 + store.endOffset++;
            store.holder = { fencingNumber, renewedMs: world.nowMs() };
            this.records = new Map(store.records);
            this.controller = new AbortController();
            this.renew(fencingNumber, vmScheduler.nowMs());
            this.listener();
        }
    }

    private renew(fencingNumber: number, startMs: number): void {
        const wallOffsetMs = this.owner.vmScheduler.wallMs() - this.owner.vmScheduler.nowMs();
        this.held = { fencingNumber, endMs: startMs + leaseMs - marginMs, wallOffsetMs };
    }
}

/** A fleet that reports usage, in virtual time; `world` is true time. */
class SimulatedUsageFleet {
    readonly world = new VirtualScheduler();
    readonly random: () => number;
    readonly vms = new Map<string, SimulatedVm>();
    readonly store: Store = { records: new Map(), epoch: 1, endOffset: 1, holder: undefined, freeMs: 0 };
    /** Accepted counts of each window: several only if the fleet broke its most important rule. */
    readonly accepted = new Map<number, Set<string>>();
    readonly truth = new Map<number, Record<string, number>>();
    /** Directions in which messages are lost, as `sender>receiver`. */
    readonly cutDirections = new Set<string>();
    lostShare: number;
    readonly isFirstEpochTold: boolean;
    isApiDown = false;
    reportCount = 0;
    private highestFencingNumber = 0;

    constructor({ seed, vms = 12, callsPerSecond = 80, lostShare = 0, isFirstEpochTold = true }: SimulationOptions) {
        this.isFirstEpochTold = isFirstEpochTold;
        this.random = createSeededRandom(seed);
        this.lostShare = lostShare;
        for (let index = 0; index < vms; index++) {
            this.start(`vm-${index}`);
        }
        const callNext = () => {
            this.world.after(-Math.log(1 - this.random()) * 1_000 / callsPerSecond, callNext, new AbortController().signal);
            this.recordCall();
        };
        callNext();
    }

    start(name: string): void {
        this.vms.set(name, new SimulatedVm(name, this));
    }

    kill(name: string): void {
        this.vms.get(name)?.controller.abort();
        this.vms.delete(name);
    }

    get holder(): string | undefined {
        return [...this.vms.values()].find(vm => vm.lease.getHeld()?.fencingNumber === this.store.holder?.fencingNumber)?.name;
    }

    /** VMs rank by their names. */
    rankedVms(): readonly string[] {
        return [...this.vms.keys()].sort().slice(0, 2);
    }

    /** Brings the records of an earlier copy back. */
    restore(records: ReadonlyMap<string, Uint8Array>, endOffset: number): void {
        Object.assign(this.store, {
            records: new Map(records),
            endOffset,
            epoch: this.store.epoch + 1,
            holder: undefined,
            freeMs: this.world.nowMs() + leaseMs + marginMs,
        });
    }

    deliver(sender: SimulatedVm, to: string, message: PeerMessage): boolean {
        const receiver = this.vms.get(to);
        if (receiver === undefined || sender.isCut || receiver.isCut || this.cutDirections.has(`${sender.name}>${to}`)) {
            return false;
        }
        const delayMs = 0.2 + (this.random() < 0.1 ? 40 : 2) * this.random();
        this.world.after(delayMs, () => {
            receiver.whenRunning(() => {
                if (!receiver.controller.signal.aborted) {
                    receiver.handlers.get(message.type)?.(sender.name, message as never);
                }
            });
        }, receiver.controller.signal);
        return true;
    }

    async report(
        report: { readonly windowIndex: number; readonly counts: Readonly<Record<string, number>>; },
        fencingNumber: number,
    ): Promise<DutyReply> {
        await Promise.resolve();
        this.reportCount++;
        if (this.isApiDown || fencingNumber < this.highestFencingNumber || this.random() < this.lostShare) {
            return "failed";
        }
        this.highestFencingNumber = fencingNumber;
        const reports = this.accepted.get(report.windowIndex) ?? new Set();
        this.accepted.set(report.windowIndex, reports.add(JSON.stringify(report.counts)));
        return this.random() < this.lostShare ? "failed" : "accepted";
    }

    /** Windows with more than one accepted report. */
    get conflicts(): number[] {
        return [...this.accepted].filter(([, reports]) => reports.size > 1).map(([index]) => index);
    }

    get windowIndex(): number {
        return Math.floor((epochMs + this.world.nowMs()) / windowMs);
    }

    /** Largest difference between accepted counts and the truth, as a share of the truth, from a window on. */
    largestError(fromIndex: number): number {
        return Math.max(
            ...[...this.accepted].filter(([index]) => index >= fromIndex).flatMap(([index, reports]) =>
                Object.entries(this.truth.get(index) ?? {}).map(([customer, calls]) => {
                    const counts = JSON.parse([...reports][0] ?? "{}") as Record<string, number>;
                    return Math.abs((counts[customer] ?? 0) - calls) / calls;
                })
            ),
        );
    }

    private recordCall(): void {
        const running = [...this.vms.values()].filter(vm => vm.isRunning);
        const vm = running[Math.floor(this.random() * running.length)];
        const share = this.random();
        const customer = Object.entries(names).find(([, limit]) => share < limit)?.[0] ?? "small";
        const counts = this.truth.get(this.windowIndex) ?? {};
        counts[customer] = (counts[customer] ?? 0) + 1;
        this.truth.set(this.windowIndex, counts);
        vm?.task.recordRun(customer);
    }
}

export function simulateUsageFleet(options: SimulationOptions): SimulatedUsageFleet {
    return new SimulatedUsageFleet(options);
}
