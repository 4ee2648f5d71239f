/**
 * Largest size of the records of one read times the number of VMs that one VM sends them to. Compressed to a fifth, as configurations are,
 * this occupies a link of 7 Mbit/s for half a second; calls of the VM wait meanwhile.
 */
const maxBroadcastBytes = 2 * 1024 * 1024;

/** A range of a log with the records that other VMs may lack. */
interface ForwardedRead<Record> {
    readonly fromOffset: number;
    readonly nextOffset: number;
    readonly records: readonly Record[];
}

/**
 * Returns what to send of a forwarded read when a VM sends it to `vmCount` others. Records that would occupy a link for too long are left
 * out, and the range starts after them, so that the receivers see a gap and read the log themselves.
 */
export function limitForwardedRead<Record extends { readonly value: Uint8Array | undefined; }>(
    read: ForwardedRead<Record>,
    vmCount: number,
): ForwardedRead<Record> {
    const sizeBytes = read.records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
    return sizeBytes * vmCount <= maxBroadcastBytes ? read : { ...read, fromOffset: read.nextOffset, records: [] };
}
