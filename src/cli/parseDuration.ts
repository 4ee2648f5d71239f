import { UsageError } from "./UsageError.js";

const unitMsBySuffix: Readonly<Record<string, number>> = { s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 };

/** Parses a duration such as `90s`, `5m`, `1h` or `3d` to milliseconds; throws a `UsageError` for other text. */
export function parseDuration(text: string): number {
    const match = /^(\d+(?:\.\d+)?)([smhd])$/.exec(text);
    const unitMs = unitMsBySuffix[match?.[2] ?? ""];
    const value = Number(match?.[1]);
    if (unitMs === undefined || !(value > 0)) {
        throw new UsageError(`${text} is not a duration; expected a value such as 90s, 5m, 1h or 3d`);
    }
    return value * unitMs;
}
