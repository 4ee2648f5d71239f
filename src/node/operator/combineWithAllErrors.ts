import { err, ok, type Result } from "neverthrow";

/** Returns all values in order or, if any result failed, the errors of every failed result. */
export function combineWithAllErrors<T>(results: readonly Result<T, readonly string[]>[]): Result<T[], readonly string[]> {
    const allErrors = results.flatMap(result => result.match(() => [], errors => [...errors]));
    return allErrors.length > 0 ? err(allErrors) : ok(results.flatMap(result => result.match(value => [value], () => [])));
}
