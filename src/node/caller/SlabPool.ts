/** Large enough for most bodies, small enough that a connection with a small body takes little. */
const slabBytes = 64 * 1024;

/**
 * Reuses memory for bodies that are arriving. Buffers that are allocated and dropped for each body stay resident until a garbage collection, and
 * a crowd of large bodies is faster than that.
 */
export class SlabPool {
    private readonly free: Buffer[] = [];

    constructor(private readonly maxFreeBytes: number) {}

    static readonly slabBytes = slabBytes;

    take(): Buffer {
        return this.free.pop() ?? Buffer.allocUnsafeSlow(slabBytes);
    }

    give(slabs: readonly Buffer[]): void {
        const room = Math.floor(this.maxFreeBytes / slabBytes) - this.free.length;
        this.free.push(...slabs.slice(0, Math.max(0, room)));
    }
}
