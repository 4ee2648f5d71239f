/** Bytes of heap and array buffers in use after a full garbage collection. Throws unless Node.js runs with `--expose-gc`. */
export function usedBytes(): number {
    if (globalThis.gc === undefined) {
        throw new Error("cannot measure memory without garbage collection; run node with --expose-gc");
    }
    globalThis.gc();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}
