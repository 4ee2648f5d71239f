import { err, ok, type Result, ResultAsync } from "neverthrow";
import { computeFollowerTiming } from "../../../core/relay/computeFollowerTiming.js";
import { exampleUpstream } from "../../../core/relay/testing/exampleUpstream.js";
import { createSeededRandom } from "../../../core/util/createSeededRandom.js";
import type { Scheduler } from "../../../core/util/Scheduler.js";
import { VirtualScheduler } from "../../../core/util/VirtualScheduler.js";
import { sleepFor } from "../../config/sleepFor.js";
import type { KeyedRecord } from "../../services/KeyedRecord.js";
import type { LogError } from "../../services/LogError.js";
import { KeyedLogFollower } from "../KeyedLogFollower.js";
import { RelayState } from "../RelayState.js";
import { createTestMonitor } from "./createTestMonitor.js";

type ListRead = Result<{ readonly records: readonly KeyedRecord[]; readonly nextOffset: number; readonly epoch: number; }, LogError>;

interface ListOutageOptions {
    readonly seed: number;
    /** `store`: the store is down, and the entries of the upstreams may expire. `vm`: only the VM cannot reach it, and an upstream leaves. */
    readonly kind: "store" | "vm";
    /** Whether the VM knows the interval at which upstreams write their entries. */
    readonly knowsHeartbeat: boolean;
}

interface ListOutageResult {
    /** Times, in milliseconds after the end of the outage, at which an upstream was available that had left more than `drainMs` before. */
    readonly lateMs: readonly number[];
    /** Upstreams that never left and were not available at some time. */
    readonly lostIds: readonly string[];
    /** Number of entries that expired. */
    readonly expiredCount: number;
}

const drainMs = 2_000;
/** The VM counts as connected again this long after the end of an outage. */
const reconnectedMs = 3_000;
const heartbeatMs = 1_200;
const expiryMs = 3 * heartbeatMs;
/** Upstreams write their entries within this time after an outage of the store. */
const relistingMs = 2_000;
const upstreamCount = 6;
const outageStartMs = 10_000;
const checkIntervalMs = 10;

/** Fires timers up to a millisecond early, as Node.js does. */
function createNodeTimers(scheduler: VirtualScheduler): Scheduler {
    return {
        nowMs: () => scheduler.nowMs(),
        wallMs: () => scheduler.wallMs(),
        after: (delayMs, callback, signal) => {
            scheduler.after(Math.trunc(delayMs), callback, signal);
        },
        every: (periodMs, callback, signal) => {
            scheduler.every(Math.trunc(periodMs), callback, signal);
        },
    };
}

/** Simulates a VM that follows the list of upstreams through an outage of the store, or of its own connection to the store. */
export async function simulateListOutage({ seed, kind, knowsHeartbeat }: ListOutageOptions): Promise<ListOutageResult> {
    const random = createSeededRandom(seed);
    const between = (min: number, max: number) => min + random() * (max - min);
    const scheduler = new VirtualScheduler();
    const controller = new AbortController();
    const { signal } = controller;
    const outageEndMs = outageStartMs + between(200, 6_000);
    const isOut = () => scheduler.nowMs() >= outageStartMs && scheduler.nowMs() < outageEndMs;
    const isStoreDown = () => kind === "store" && isOut();
    const records: KeyedRecord[] = [];
    const writtenMs = new Map<string, number>();
    const ids = [...Array(upstreamCount).keys()].map(index => `u${index}`);
    const leavingId = kind === "vm" ? "u0" : undefined;
    const leaveMs = outageEndMs + between(-1_500, 2_500);
    let revision = 1;
    let expiredCount = 0;

    const append = (key: string, value: Buffer | undefined) => {
        records.push({ offset: records.length, key, value });
    };
    const write = (id: string) => {
        const hasLeft = id === leavingId && scheduler.nowMs() >= leaveMs;
        if (!hasLeft && !isStoreDown()) {
            append(id, Buffer.from(String(revision++)));
            writtenMs.set(id, scheduler.nowMs());
        }
    };
    for (const id of ids) {
        scheduler.after(between(0, heartbeatMs), () => {
            write(id);
            scheduler.every(heartbeatMs, () => {
                write(id);
            }, signal);
        }, signal);
        // The upstream's heartbeat may come later after an outage: the promise of the store is all that is known.
        scheduler.after(outageEndMs + between(0, relistingMs), () => {
            write(id);
        }, signal);
    }
    scheduler.every(50, () => {
        for (const [id, lastWrittenMs] of writtenMs) {
            if (scheduler.nowMs() - lastWrittenMs >= expiryMs) {
                writtenMs.delete(id);
                expiredCount++;
                append(id, undefined);
            }
        }
    }, signal);
    if (leavingId !== undefined) {
        scheduler.after(leaveMs, () => {
            writtenMs.delete(leavingId);
            append(leavingId, undefined);
        }, signal);
    }

    // A connection may be refused or time out, and an established one may be silent until the read times out, or until the end of the outage.
    const failureMs = [1, 400, 1_000][Math.floor(random() * 3)] ?? 1;
    const isAnsweredAfterOutage = random() < 0.5;
    const read = (fromOffset: number, isWhole: boolean) => {
        const answer = async (): Promise<ListRead> => {
            await sleepFor(scheduler, between(1, 3));
            if (isOut()) {
                const remainingMs = outageEndMs - scheduler.nowMs();
                const isAnswered = isAnsweredAfterOutage && remainingMs < failureMs;
                await sleepFor(scheduler, isAnswered ? remainingMs : failureMs);
                if (!isAnswered) {
                    return err({ kind: "unavailable", firstOffset: undefined, message: "test" });
                }
            }
            const newest = new Map(records.map(record => [record.key, record]));
            const whole = [...newest.values()].filter(({ value }) => value !== undefined);
            const reply = { records: isWhole ? whole : records.slice(fromOffset), nextOffset: records.length, epoch: 0 };
            await sleepFor(scheduler, between(1, 3));
            return ok(reply);
        };
        return ResultAsync.fromSafePromise(answer()).andThen(result => result);
    };

    // Another VM that reads the log for this one, when neither the store nor this VM is cut off.
    const hasReader = random() < 0.5;
    const readerDelayMs = between(0, 600);
    const unusedSource = undefined as never;
    const state = new RelayState({
        scheduler: createNodeTimers(scheduler),
        signal,
        config: { source: unusedSource, key: "config", decode: () => err("unused") },
        upstreams: {
            source: unusedSource,
            decode: (id, value) => ok(exampleUpstream(id, { startedWallMs: 1, revision: Number(value) })),
            minExpiryMs: knowsHeartbeat ? 2.5 * heartbeatMs : 0,
            maxGraceMs: reconnectedMs,
        },
        onConfig: () => undefined,
        onUpstreamRemoved: () => undefined,
        onEntryIgnored: () => undefined,
    });
    const timing = computeFollowerTiming(drainMs);
    const follower = new KeyedLogFollower({
        ...timing,
        name: "upstreams",
        source: { readNewest: () => read(0, true), readChanges: offset => read(offset, false) },
        scheduler,
        waitMs: 0,
        readPauseMs: timing.upstreamsReadPauseMs,
        nextReadDueMs: () => state.directory.lastReadDueMs,
        startupDelayMs: 0,
        requestSnapshot: () => Promise.resolve(undefined),
        snapshotWaitMs: 0,
        readerRank: () => hasReader ? 5 : 0,
        onRecords: (...listRead) => state.applyUpstreamRecords(...listRead),
        onRead: () => 0,
        onRestored: () => undefined,
        onOutage: startedMs => {
            state.recordListOutage(startedMs);
        },
        onReadable: startedMs => {
            state.recordListRead(startedMs);
        },
        monitor: createTestMonitor(() => scheduler.nowMs()),
    });
    scheduler.after(2 * heartbeatMs, () => void follower.run(signal), signal);

    if (hasReader) {
        let fromOffset = 0;
        let nextReadMs = 0;
        scheduler.every(10, () => {
            if (!isOut() && scheduler.nowMs() >= nextReadMs) {
                nextReadMs = scheduler.nowMs() + timing.upstreamsReadPauseMs;
                follower.receiveFromPeer("reader", {
                    epoch: 0,
                    isWhole: false,
                    fromOffset,
                    nextOffset: records.length,
                    records: records.slice(fromOffset),
                });
                fromOffset = records.length;
            }
            else if (isOut()) {
                nextReadMs = outageEndMs + readerDelayMs;
            }
        }, signal);
    }

    const lateMs: number[] = [];
    const lostIds = new Set<string>();
    await scheduler.advanceAsync(outageStartMs);
    while (scheduler.nowMs() < outageEndMs + 8_000) {
        await scheduler.advanceAsync(checkIntervalMs);
        const nowMs = scheduler.nowMs();
        const available = state.directory.available("orders").map(({ id }) => id);
        if (leavingId !== undefined && nowMs > leaveMs + drainMs && nowMs >= outageEndMs + reconnectedMs && available.includes(leavingId)) {
            lateMs.push(Math.round(nowMs - outageEndMs));
        }
        for (const id of ids.filter(id => id !== leavingId && !available.includes(id))) {
            lostIds.add(id);
        }
    }
    controller.abort();
    return { lateMs, lostIds: [...lostIds].sort(), expiredCount };
}
