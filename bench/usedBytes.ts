/** Bytes in use after a collection; run with `--expose-gc`. */
export function usedBytes(): number {
    if (globalThis.gc === undefined) {
        throw new Error("run node with --expose-gc");
    }
    globalThis.gc();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}
