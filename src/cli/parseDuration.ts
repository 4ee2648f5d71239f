import { UsageError } from "./UsageError.js";

const unitsMs: Readonly<Record<string, number>> = { s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 };

/** Reads a duration such as `90s`, `5m`, `1h` or `3d`, in milliseconds. */
export function parseDuration(text: string): number {
    const match = /^(\d+(?:\.\d+)?)([smhd])$/.exec(text);
    const unitMs = unitsMs[match?.[2] ?? ""];
    const value = Number(match?.[1]);
    if (unitMs === undefined || !(value > 0)) {
        throw new UsageError(`${text} is not a duration; give one such as 90s, 5m, 1h or 3d`);
    }
    return value * unitMs;
}
