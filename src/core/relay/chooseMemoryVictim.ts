interface MemoryUse {
    /** What is released at once when the victim is evicted. */
    readonly evictableBytes: number;
    /** Whether a body on the connection has not arrived completely, so that its call has not run. */
    readonly isReceiving: boolean;
    /** Whether the call of that body would be denied by the present configuration. */
    readonly isDenied?: boolean;
}

/** Weight of a connection with an unfinished body: others lose responses, and are closed only when they hold much more. */
const receivingWeight = 4;
/** High enough that bodies of denied calls go before all others. */
const deniedWeight = 1_000_000;

/** Chooses what has to go when the memory for callers is exhausted: the largest unfinished body, as small calls still fit then. */
export function chooseMemoryVictim<T extends MemoryUse>(uses: Iterable<T>): T | undefined {
    let victim: T | undefined;
    let largestWeight = 0;
    for (const use of uses) {
        const weight = use.evictableBytes * (use.isDenied === true ? deniedWeight : use.isReceiving ? receivingWeight : 1);
        if (weight > largestWeight) {
            victim = use;
            largestWeight = weight;
        }
    }
    return victim;
}
