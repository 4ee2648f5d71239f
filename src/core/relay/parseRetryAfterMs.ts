import { err, ok, type Result } from "neverthrow";

const msPerSecond = 1_000;
/** Longest retry delay that is followed, so that an upstream with a faulty clock or header is not lost for good. */
const maxRetryAfterMs = 3_600_000;

/**
 * Decodes a `Retry-After` header in seconds, which may have a fraction; of several values the longest counts. Returns undefined without
 * the header; the error says why its value is ignored. A date is not followed, as the clocks of other machines are not comparable.
 */
export function parseRetryAfterMs(value: string | readonly string[] | undefined): Result<number | undefined, string> {
    if (value === undefined) {
        return ok(undefined);
    }
    const entries = [value].flat().flatMap(text => text.split(",")).map(entry => entry.trim());
    const delaysMs = entries.filter(entry => /^\d+(?:\.\d*)?$/.test(entry)).map(entry => Number(entry) * msPerSecond);
    if (delaysMs.length === 0) {
        return err(`Retry-After ${JSON.stringify(entries.join(", "))} is no number of seconds`);
    }
    return ok(Math.min(maxRetryAfterMs, Math.max(...delaysMs)));
}
