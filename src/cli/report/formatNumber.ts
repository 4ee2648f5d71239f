const none = "–";

/** Numbers as people read them in tables; a dash where there is none. */
export const formatNumber = {
    percent(share: number | undefined, digits = 1): string {
        return share === undefined ? none : `${(share * 100).toFixed(digits)}%`;
    },
    rate(value: number | undefined): string {
        return value === undefined ? none : value.toFixed(value < 10 ? 1 : 0);
    },
    duration(valueMs: number | undefined): string {
        if (valueMs === undefined) {
            return none;
        }
        return valueMs < 1_000 ? `${valueMs.toFixed(valueMs < 10 ? 1 : 0)} ms` : `${(valueMs / 1_000).toFixed(2)} s`;
    },
    count(value: number): string {
        return value.toLocaleString("en");
    },
    span(valueMs: number): string {
        const hours = valueMs / 3_600_000;
        return hours < 1 ? `${Math.round(hours * 60)}m` : hours < 24 ? `${Math.round(hours)}h` : `${Math.round(hours / 24)}d`;
    },
};
