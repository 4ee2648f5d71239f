const minCapacityBytes = 256;
const emptyBuffer = Buffer.alloc(0);

/** Collects bytes that arrive in parts. Its capacity doubles when it is exceeded, so the cost of appending is linear in the bytes appended. */
export class GrowingBuffer {
    private memory: Buffer = emptyBuffer;
    private sizeBytes = 0;

    get length(): number {
        return this.sizeBytes;
    }

    /** Size of the memory in use, at least `length`. */
    get capacityBytes(): number {
        return this.memory.length;
    }

    /** The bytes collected so far. */
    get bytes(): Buffer {
        return this.memory.subarray(0, this.sizeBytes);
    }

    append(bytes: Buffer): void {
        const newSizeBytes = this.sizeBytes + bytes.length;
        if (newSizeBytes > this.memory.length) {
            const memory = Buffer.allocUnsafe(Math.max(minCapacityBytes, newSizeBytes, 2 * this.memory.length));
            this.memory.copy(memory, 0, 0, this.sizeBytes);
            this.memory = memory;
        }
        bytes.copy(this.memory, this.sizeBytes);
        this.sizeBytes = newSizeBytes;
    }

    /** Empties the buffer. Parts of `bytes` that are still in use are not overwritten. */
    clear(): void {
        this.memory = emptyBuffer;
        this.sizeBytes = 0;
    }
}
