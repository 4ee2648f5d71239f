import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { bookingSchedules } from "./bookingSchedules.js";
import { plantedBookingFaults } from "./plantedBookingFaults.js";

const seed = 1;
const scheduleCount = 500;

for (const { name, invariant, plant } of plantedBookingFaults) {
    test(`the checker detects the planted fault "${name}" as ${invariant}`, async () => {
        const detected = new Set<string>();
        const property = bookingSchedules(plant, violations => {
            for (const violation of violations) {
                detected.add(violation.invariant);
            }
        }, found => found.some(violation => violation.invariant === invariant));
        await fc.check(property, { seed, numRuns: scheduleCount, endOnFailure: true });
        expect([...detected]).toInclude(invariant);
    });
}
