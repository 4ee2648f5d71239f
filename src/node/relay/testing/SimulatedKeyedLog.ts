import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Scheduler } from "../../../core/util/Scheduler.js";
import type { KeyedLog } from "../../services/KeyedLog.js";
import type { KeyedRecord } from "../../services/KeyedRecord.js";
import type { LogError } from "../../services/LogError.js";

interface Connection {
    /** Delay of a request, and of a reply. */
    readonly delayMs: () => number;
    /** Runs a task on the VM that reads. */
    readonly handle: (task: () => void) => void;
}

interface Page {
    readonly items: readonly KeyedRecord[];
    readonly hasMore: boolean;
    /** End of the log when the page was sent. */
    readonly end: number;
    readonly epoch: number;
}

interface Reply {
    readonly records: readonly KeyedRecord[];
    readonly nextOffset: number;
    readonly epoch: number;
}

const keysPerPage = 6;

/** A keyed log in memory that several VMs read over slow connections. A reply holds what the log held when it was sent. */
export class SimulatedKeyedLog {
    readonly records: KeyedRecord[] = [];
    epoch = 0;
    /** Whether reads fail. */
    isDown = false;
    private readonly recordsByKey = new Map<string, KeyedRecord[]>();
    private readonly waitingReads = new Set<() => void>();

    constructor(private readonly scheduler: Scheduler, private readonly signal: AbortSignal) {}

    append(key: string, value: string | undefined): void {
        const record = { offset: this.records.length, key, value: value === undefined ? undefined : Buffer.from(value) };
        this.records.push(record);
        this.recordsByKey.set(key, [...this.recordsOf(key), record]);
        for (const reply of [...this.waitingReads]) {
            reply();
        }
    }

    /** Restores the log from a copy that ends at this offset. Reads that wait for records fail. */
    restore(endOffset: number): void {
        this.records.length = Math.min(this.records.length, endOffset);
        for (const [key, records] of [...this.recordsByKey]) {
            this.recordsByKey.set(key, records.filter(({ offset }) => offset < endOffset));
        }
        this.epoch++;
        for (const reply of [...this.waitingReads]) {
            reply();
        }
    }

    get keys(): readonly string[] {
        return [...this.recordsByKey.keys()];
    }

    /** All records of a key, in order of their offsets. */
    recordsOf(key: string): readonly KeyedRecord[] {
        return this.recordsByKey.get(key) ?? [];
    }

    /** The newest record of a key before an offset. */
    newestBefore(key: string, offset: number): KeyedRecord | undefined {
        return this.recordsOf(key).findLast(record => record.offset < offset);
    }

    connect(connection: Connection): KeyedLog {
        return {
            readNewest: () => new ResultAsync(this.readPages(connection)),
            readChanges: (offset, waitMs) => new ResultAsync(this.readFrom(offset, waitMs, connection)),
        };
    }

    /** Reads page by page as the client of the store does: later pages may hold records from `nextOffset` on. */
    private async readPages(connection: Connection): Promise<Result<Reply, LogError>> {
        const records: KeyedRecord[] = [];
        let first: Page | undefined;
        for (;;) {
            const page = await this.readPage(records.at(-1)?.key ?? "", connection);
            if (page.isErr()) {
                return err(page.error);
            }
            first ??= page.value;
            if (page.value.epoch !== first.epoch) {
                return err(createError("unavailable"));
            }
            records.push(...page.value.items);
            if (!page.value.hasMore) {
                return ok({ records, nextOffset: first.end, epoch: first.epoch });
            }
        }
    }

    private readPage(afterKey: string, connection: Connection) {
        return this.request<Page>(connection, reply => {
            const newest = [...this.keys].sort()
                .filter(key => key > afterKey)
                .flatMap(key => this.newestBefore(key, Infinity) ?? [])
                .filter(record => record.value !== undefined);
            const { epoch, records } = this;
            reply(ok({ items: newest.slice(0, keysPerPage), hasMore: newest.length > keysPerPage, end: records.length, epoch }));
        });
    }

    private readFrom(offset: number, waitMs: number, connection: Connection) {
        return this.request<Reply>(connection, reply => {
            const { epoch } = this;
            if (offset > this.records.length) {
                reply(err(createError("forgotten")));
                return;
            }
            const end = () => {
                if (this.waitingReads.delete(end)) {
                    const isLost = this.epoch !== epoch;
                    reply(
                        isLost
                            ? err(createError("unavailable"))
                            : ok({ records: this.records.slice(offset), nextOffset: this.records.length, epoch }),
                    );
                }
            };
            this.waitingReads.add(end);
            if (this.records.length > offset || waitMs === 0) {
                end();
            }
            else {
                this.scheduler.after(waitMs, end, this.signal);
            }
        });
    }

    private request<T>(
        { delayMs, handle }: Connection,
        serve: (reply: (value: Result<T, LogError>) => void) => void,
    ): Promise<Result<T, LogError>> {
        return new Promise(resolve => {
            const reply = (value: Result<T, LogError>) => {
                this.scheduler.after(delayMs(), () => {
                    handle(() => {
                        resolve(value);
                    });
                }, this.signal);
            };
            this.scheduler.after(delayMs(), () => {
                if (this.isDown) {
                    reply(err(createError("unavailable")));
                }
                else {
                    serve(reply);
                }
            }, this.signal);
        });
    }
}

function createError(kind: "unavailable" | "forgotten"): LogError {
    return { kind, firstOffset: undefined, message: "simulated" };
}
