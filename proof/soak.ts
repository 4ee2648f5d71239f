import fc from "fast-check";
import { parseArgs } from "node:util";
import { bookingSchedules } from "./bookings/bookingSchedules.js";
import { configSchedules } from "./config/configSchedules.js";

const schedulesPerSeed = 500;

const { values: options } = parseArgs({
    options: { minutes: { type: "string", default: "10" }, seed: { type: "string", default: String(Date.now() % 1_000_000_000) } },
});
const endMs = performance.now() + Number(options.minutes) * 60_000;

let total = 0;
for (let seed = Number(options.seed); performance.now() < endMs; seed++) {
    console.log(`seed ${seed}: ${schedulesPerSeed} schedules of bookings, ${schedulesPerSeed} of configuration; ${total} before`);
    await fc.assert(bookingSchedules(), { seed, numRuns: schedulesPerSeed });
    await fc.assert(configSchedules(), { seed, numRuns: schedulesPerSeed });
    total += 2 * schedulesPerSeed;
}
console.log(`${total} schedules, no violation`);
