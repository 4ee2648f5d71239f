import fc from "fast-check";
import { test } from "node:test";
import { configSchedules } from "./configSchedules.js";

const seed = Number(process.env["PROOF_SEED"] ?? 20_261_204);
const scheduleCount = Number(process.env["PROOF_SCHEDULES"] ?? 700);

test(`the configuration violates no invariant under ${scheduleCount} fault schedules, seed ${seed}`, async () => {
    await fc.assert(configSchedules(), { seed, numRuns: scheduleCount });
});
