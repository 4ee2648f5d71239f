/** Splits a number evenly over zones that are listed by rising price; the cheapest ones get the remainder. */
export function splitByPrice(total: number, zones: readonly string[]): ReadonlyMap<string, number> {
    const share = Math.floor(total / Math.max(1, zones.length));
    const remainder = total - share * zones.length;
    return new Map(zones.map((zone, index) => [zone, share + (index < remainder ? 1 : 0)]));
}
