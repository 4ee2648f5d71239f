const missingValue = "–";

/** Formats numbers for tables; an undefined value becomes a dash. Shares are from 0 to 1, durations in milliseconds. */
export const formatNumber = {
    percent(share: number | undefined, digits = 1): string {
        return share === undefined ? missingValue : `${(share * 100).toFixed(digits)}%`;
    },
    rate(value: number | undefined): string {
        return value === undefined ? missingValue : value.toFixed(value < 10 ? 1 : 0);
    },
    duration(valueMs: number | undefined): string {
        if (valueMs === undefined) {
            return missingValue;
        }
        return valueMs < 1_000 ? `${valueMs.toFixed(valueMs < 10 ? 1 : 0)} ms` : `${(valueMs / 1_000).toFixed(2)} s`;
    },
    count(value: number): string {
        return value.toLocaleString("en");
    },
    /** Formats a time range or window in whole minutes, hours or days. */
    span(valueMs: number): string {
        const hours = valueMs / 3_600_000;
        return hours < 1 ? `${Math.round(hours * 60)}m` : hours < 24 ? `${Math.round(hours)}h` : `${Math.round(hours / 24)}d`;
    },
};
