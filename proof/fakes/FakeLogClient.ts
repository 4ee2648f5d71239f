import { err, ok, ResultAsync } from "neverthrow";
import type { Result } from "neverthrow";
import type { LogClient } from "../../src/node/services/LogClient.js";
import type { LogError } from "../../src/node/services/LogError.js";
import type { LogRecord } from "../../src/node/services/LogRecord.js";
import type { AppendFault } from "./AppendFault.js";
import type { FakeLog } from "./FakeLog.js";

const maxReadRecords = 100;
const answerTimeoutMs = 1_000;

/** One VM's client of the fake log, with injectable faults and delays. */
export class FakeLogClient implements LogClient {
    /** The VM cannot reach the log: appends fail with `not-appended`, reads with `unavailable`. */
    isDown = false;
    /** One-way delay of each call and each answer. */
    delayMs = 1;
    /** Faults for the next appends, one per append in order. */
    readonly appendFaults: AppendFault[] = [];
    /** Called with the records of each successful read by this VM. */
    onRead: (stream: string, records: readonly LogRecord[]) => void = () => undefined;
    /** Called for each append by this VM, before any fault applies. */
    onAppend: (stream: string, payload: Uint8Array) => void = () => undefined;
    /** Awaited before each answer is delivered; delays answers while the VM is paused. */
    gate: () => Promise<void> = () => Promise.resolve();
    private readonly waitingReads = new Set<() => void>();

    constructor(private readonly log: FakeLog) {}

    append(stream: string, payload: Uint8Array, signal: AbortSignal): ResultAsync<number, LogError> {
        this.onAppend(stream, payload);
        return new ResultAsync(this.deliverThroughGate(this.appendOnce(stream, payload, signal)));
    }

    read(stream: string, offset: number, waitMs: number, signal: AbortSignal): ResultAsync<readonly LogRecord[], LogError> {
        return new ResultAsync(
            this.deliverThroughGate(this.readOnce(stream, offset, waitMs, signal)).then(read => {
                if (read.isOk()) {
                    this.onRead(stream, read.value);
                }
                return read;
            }),
        );
    }

    wake(): void {
        for (const wake of [...this.waitingReads]) {
            wake();
        }
    }

    private async deliverThroughGate<T>(call: Promise<T>): Promise<T> {
        const result = await call;
        await this.gate();
        return result;
    }

    private async appendOnce(stream: string, payload: Uint8Array, signal: AbortSignal): Promise<Result<number, LogError>> {
        const fault = this.isDown ? { kind: "refuse" } as const : this.appendFaults.shift() ?? { kind: "answer" };
        await this.sleep(this.delayMs);
        if (fault.kind === "refuse" || signal.aborted) {
            return err(logError("not-appended"));
        }
        if (fault.kind === "late") {
            this.log.scheduler.after(fault.afterMs, () => this.log.land(stream, payload), new AbortController().signal);
        }
        if (fault.kind === "late" || fault.kind === "drop") {
            await this.sleep(answerTimeoutMs);
            return err(logError("unknown"));
        }
        const offset = this.log.land(stream, payload);
        if (fault.kind === "repeat") {
            this.log.land(stream, payload);
        }
        if (fault.kind === "lose-answer") {
            await this.sleep(answerTimeoutMs);
            return err(logError("unknown"));
        }
        await this.sleep(this.delayMs);
        return ok(offset);
    }

    private async readOnce(
        name: string,
        offset: number,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<Result<readonly LogRecord[], LogError>> {
        await this.sleep(this.delayMs);
        const deadlineMs = this.log.scheduler.nowMs() + waitMs;
        const stream = this.log.stream(name);
        while (
            !this.isDown && !signal.aborted && offset >= stream.first + stream.records.length && this.log.scheduler.nowMs() < deadlineMs
        ) {
            await this.sleepUntilWoken(deadlineMs - this.log.scheduler.nowMs());
        }
        await this.sleep(this.delayMs);
        if (this.isDown || signal.aborted) {
            return err(logError("unavailable"));
        }
        if (offset < stream.first) {
            return err({ kind: "forgotten", firstOffset: stream.first, message: "forgotten" });
        }
        const start = offset - stream.first;
        return ok(stream.records.slice(start, start + maxReadRecords));
    }

    private sleep(durationMs: number): Promise<void> {
        return new Promise(resolve => {
            this.log.scheduler.after(durationMs, resolve, new AbortController().signal);
        });
    }

    private sleepUntilWoken(durationMs: number): Promise<void> {
        return new Promise(resolve => {
            const finished = new AbortController();
            const finish = () => {
                finished.abort();
                this.waitingReads.delete(finish);
                resolve();
            };
            this.waitingReads.add(finish);
            this.log.scheduler.after(durationMs, finish, finished.signal);
        });
    }
}

function logError(kind: LogError["kind"]): LogError {
    return { kind, firstOffset: undefined, message: kind };
}
