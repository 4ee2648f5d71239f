import fc from "fast-check";
import { test } from "node:test";
import { bookingSchedules } from "./bookingSchedules.js";

const seed = Number(process.env["PROOF_SEED"] ?? 20_261_204);
const scheduleCount = Number(process.env["PROOF_SCHEDULES"] ?? 1_500);

test(`keyed calls violate no invariant under ${scheduleCount} fault schedules, seed ${seed}`, async () => {
    await fc.assert(bookingSchedules(), { seed, numRuns: scheduleCount });
});
