import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Scheduler } from "../../../core/util/Scheduler.js";
import type { LogError } from "../../services/LogError.js";
import type { DutyRecord } from "../DutyRecord.js";
import type { DutyStore } from "../DutyStore.js";
import type { VmClock } from "./VmClock.js";

type Append = Awaited<ReturnType<DutyStore["append"]>> extends Result<infer T, LogError> ? T : never;

interface Link {
    /** No call of this VM reaches the log, and no reply reaches the VM. */
    isCut: boolean;
    /** The log carries appends out, but their replies are lost. */
    losesReplies: boolean;
    /** Appends are carried out this much later, and their replies are lost. */
    appendDelayMs: number;
    /** Calls that were answered with success. */
    readonly calls: { reads: number; appends: number; };
}

/** The topic of the duties on virtual time, with a link for each VM that can be cut or lose replies. */
export class FakeDutyLog {
    private records: DutyRecord[] = [];
    private epoch = 0;
    private readonly never = new AbortController().signal;

    constructor(private readonly trueTime: Scheduler, private readonly latencyMs: () => number) {}

    takeCopy(): readonly DutyRecord[] {
        return [...this.records];
    }

    restore(copy: readonly DutyRecord[]): void {
        this.records = [...copy];
        this.epoch++;
    }

    createLink(): Link {
        return { isCut: false, losesReplies: false, appendDelayMs: 0, calls: { reads: 0, appends: 0 } };
    }

    connect(link: Link, clock: VmClock): DutyStore {
        return {
            readNewest: signal =>
                this.call(link, clock, signal, 0, false, () => {
                    link.calls.reads++;
                    const newest = new Map(this.records.map(record => [record.key, record]));
                    return { records: [...newest.values()], endOffset: this.records.length, epoch: this.epoch };
                }),
            append: (records, atOffset, signal) =>
                this.call(link, clock, signal, link.appendDelayMs, link.losesReplies || link.appendDelayMs > 0, () => {
                    link.calls.appends++;
                    return this.append(records, atOffset);
                }),
        };
    }

    private append(records: readonly DutyRecord[], atOffset: number): Append {
        const { epoch } = this;
        if (this.records.length !== atOffset) {
            return { kind: "conflict", endOffset: this.records.length, epoch };
        }
        this.records.push(...records);
        return { kind: "appended", offset: atOffset, endOffset: this.records.length, epoch };
    }

    /** Once sent, a call is carried out even if the VM is suspended or gives it up. */
    private call<T>(
        link: Link,
        clock: VmClock,
        signal: AbortSignal,
        delayMs: number,
        isReplyLost: boolean,
        run: () => T,
    ): ResultAsync<T, LogError> {
        return new ResultAsync(
            new Promise<Result<T, LogError>>(resolve => {
                signal.addEventListener("abort", () => {
                    resolve(err({ kind: "unknown", message: "no reply", firstOffset: undefined }));
                }, { once: true });
                if (link.isCut) {
                    return;
                }
                this.trueTime.after(delayMs + this.latencyMs(), () => {
                    const reply = run();
                    if (isReplyLost) {
                        return;
                    }
                    this.trueTime.after(this.latencyMs(), () => {
                        clock.whenRunning(() => {
                            if (!link.isCut) {
                                resolve(ok(reply));
                            }
                        });
                    }, this.never);
                }, this.never);
            }),
        );
    }
}
