/** The value below which the share `fraction` of the samples lies. */
export function quantile(samples: readonly number[], fraction: number): number {
    const sorted = [...samples].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? Number.NaN;
}
