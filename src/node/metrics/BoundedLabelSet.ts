const other = "other";

/** Keeps a metric's label to a bounded set of values; values beyond it count as "other". */
export class BoundedLabelSet {
    private readonly known = new Set<string>();

    constructor(private readonly maxValues: number) {}

    toLabel(value: string): string {
        if (this.known.has(value)) {
            return value;
        }
        if (this.known.size >= this.maxValues) {
            return other;
        }
        this.known.add(value);
        return value;
    }
}
