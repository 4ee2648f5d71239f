import { ResultAsync } from "neverthrow";
import type { Scheduler } from "../../../core/util/Scheduler.js";
import type { KeyedLog } from "../../services/KeyedLog.js";
import type { KeyedRecord } from "../../services/KeyedRecord.js";

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
}

const keysPerPage = 6;

/** A keyed log in memory that several VMs read over slow connections. A reply holds what the log held when it was sent. */
export class SimulatedKeyedLog {
    readonly records: KeyedRecord[] = [];
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
            readNewest: () => ResultAsync.fromSafePromise(this.readPages(connection)),
            readChanges: (offset, waitMs) => ResultAsync.fromSafePromise(this.readFrom(offset, waitMs, connection)),
        };
    }

    /** Reads page by page as the client of the store does: later pages may hold records from `nextOffset` on. */
    private async readPages(connection: Connection) {
        const records: KeyedRecord[] = [];
        let nextOffset: number | undefined;
        for (;;) {
            const page = await this.readPage(records.at(-1)?.key ?? "", connection);
            nextOffset ??= page.end;
            records.push(...page.items);
            if (!page.hasMore) {
                return { records, nextOffset };
            }
        }
    }

    private readPage(afterKey: string, connection: Connection) {
        return this.request<Page>(connection, reply => {
            const newest = [...this.keys].sort()
                .filter(key => key > afterKey)
                .flatMap(key => this.newestBefore(key, Infinity) ?? [])
                .filter(record => record.value !== undefined);
            reply({ items: newest.slice(0, keysPerPage), hasMore: newest.length > keysPerPage, end: this.records.length });
        });
    }

    private readFrom(offset: number, waitMs: number, connection: Connection) {
        return this.request<{ records: readonly KeyedRecord[]; nextOffset: number; }>(connection, reply => {
            const end = () => {
                if (this.waitingReads.delete(end)) {
                    reply({ records: this.records.slice(offset), nextOffset: this.records.length });
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

    private request<T>({ delayMs, handle }: Connection, serve: (reply: (value: T) => void) => void): Promise<T> {
        return new Promise(resolve => {
            this.scheduler.after(delayMs(), () => {
                serve(value => {
                    this.scheduler.after(delayMs(), () => {
                        handle(() => {
                            resolve(value);
                        });
                    }, this.signal);
                });
            }, this.signal);
        });
    }
}
