/** An append-only stream in memory. Offsets start at 0 and are not reused after records are dropped. */
export class LogStream {
    private records: Uint8Array[] = [];
    private first = 0;
    private readonly waiting = new Set<() => void>();

    /** Offset of the oldest retained record. */
    get firstOffset(): number {
        return this.first;
    }

    get nextOffset(): number {
        return this.first + this.records.length;
    }

    append(payload: Uint8Array): number {
        const offset = this.nextOffset;
        this.records.push(payload);
        for (const wake of [...this.waiting]) {
            wake();
        }
        return offset;
    }

    read(offset: number, maxRecords: number): { offset: number; payload: Uint8Array; }[] {
        const start = offset - this.first;
        return this.records.slice(start, start + maxRecords).map((payload, index) => ({ offset: offset + index, payload }));
    }

    /** Drops all but the newest `keptRecords` records. */
    trim(keptRecords: number): void {
        const dropped = Math.max(0, this.records.length - keptRecords);
        this.records = this.records.slice(dropped);
        this.first += dropped;
    }

    /** Resolves at the next append, or after `waitMs`. */
    nextAppend(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                clearTimeout(timer);
                this.waiting.delete(finish);
                resolve();
            };
            const timer = setTimeout(finish, waitMs);
            this.waiting.add(finish);
        });
    }

    /** Resolves all pending waits for an append immediately. */
    cancelWaits(): void {
        this.waiting.forEach(finish => {
            finish();
        });
    }
}
