const overflowLabel = "other";

/** Limits the cardinality of a metric label: the first `maxValues` values are kept, later ones are reported as "other". */
export class BoundedLabelSet {
    private readonly knownValues = new Set<string>();

    constructor(private readonly maxValues: number) {}

    toLabel(value: string): string {
        if (this.knownValues.has(value)) {
            return value;
        }
        if (this.knownValues.size >= this.maxValues) {
            return overflowLabel;
        }
        this.knownValues.add(value);
        return value;
    }
}
