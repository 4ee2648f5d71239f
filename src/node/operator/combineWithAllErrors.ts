import { err, ok, type Result } from "neverthrow";

/** All values in order, or the faults of every result that failed. */
export function combineWithAllErrors<T>(results: readonly Result<T, readonly string[]>[]): Result<T[], readonly string[]> {
    const faults = results.flatMap(result => result.match(() => [], errors => [...errors]));
    return faults.length > 0 ? err(faults) : ok(results.flatMap(result => result.match(value => [value], () => [])));
}
