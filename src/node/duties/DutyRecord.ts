/** Newest value of a key in the topic of the duties. */
export interface DutyRecord {
    readonly key: string;
    readonly value: Uint8Array;
}
