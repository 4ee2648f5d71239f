import fc from "fast-check";
import { parseArgs } from "node:util";
import { bookingSchedules } from "./bookings/bookingSchedules.js";
import { configSchedules } from "./config/configSchedules.js";

const schedulesPerSeed = 500;

const { values: options } = parseArgs({
    options: { minutes: { type: "string", default: "10" }, seed: { type: "string", default: String(Date.now() % 1_000_000_000) } },
});
const endMs = performance.now() + Number(options.minutes) * 60_000;

let scheduleCount = 0;
for (let seed = Number(options.seed); performance.now() < endMs; seed++) {
    console.log(
        `seed ${seed}: ${schedulesPerSeed} booking schedules and ${schedulesPerSeed} configuration schedules to run; ${scheduleCount} passed so far`,
    );
    await fc.assert(bookingSchedules(), { seed, numRuns: schedulesPerSeed });
    await fc.assert(configSchedules(), { seed, numRuns: schedulesPerSeed });
    scheduleCount += 2 * schedulesPerSeed;
}
console.log(`${scheduleCount} schedules passed without a violation`);
