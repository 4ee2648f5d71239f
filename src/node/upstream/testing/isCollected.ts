import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Whether the memory of a buffer can be freed, because nothing refers to it any more. */
export async function isCollected(memory: WeakRef<ArrayBufferLike>): Promise<boolean> {
    setFlagsFromString("--expose-gc");
    const collectGarbage = runInNewContext("gc") as () => void;
    // The target of a weak reference is kept until the end of the current job.
    await new Promise(resolve => setImmediate(resolve));
    collectGarbage();
    return memory.deref() === undefined;
}
