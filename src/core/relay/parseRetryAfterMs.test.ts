import { expect } from "earl";
import { test } from "node:test";
import { parseRetryAfterMs } from "./parseRetryAfterMs.js";

test("a retry delay is decoded from seconds, and bounded", () => {
    const decoded = ["2", "0.25", "0", "2.", "100", "1e9", "99999999999999999999999", ["1", "3"], "1, 4", "x, 4"].map(value =>
        parseRetryAfterMs(value)
    );
    expect(decoded.map(result => result.unwrapOr(-1))).toEqual([2_000, 250, 0, 2_000, 100_000, -1, 3_600_000, 3_000, 4_000, 4_000]);
    expect(parseRetryAfterMs(undefined)._unsafeUnwrap()).toEqual(undefined);
});

test("a retry delay that is no number of seconds is an error", () => {
    for (const value of ["", "-1", "soon", "Infinity", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"]) {
        expect(parseRetryAfterMs(value).isErr()).toEqual(true);
    }
});
