/** One record of a keyed stream; without a value the key has been dropped. */
export interface KeyedRecord {
    readonly offset: number;
    readonly key: string;
    readonly value: Uint8Array | undefined;
}
