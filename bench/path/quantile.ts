/** Sample at the quantile `fraction` (0 to 1); NaN when there are no samples. */
export function quantile(samples: readonly number[], fraction: number): number {
    const sorted = [...samples].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? Number.NaN;
}
