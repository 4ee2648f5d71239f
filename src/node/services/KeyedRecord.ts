/** One record of a keyed stream. A record without a value is a tombstone: its key has been deleted. */
export interface KeyedRecord {
    readonly offset: number;
    readonly key: string;
    readonly value: Uint8Array | undefined;
}
