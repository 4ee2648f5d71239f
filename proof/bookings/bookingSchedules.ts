import fc from "fast-check";
import type { LogBookingService } from "../../src/node/booking/LogBookingService.js";
import { checkBookings } from "../checker/checkBookings.js";
import type { Violation } from "../checker/Violation.js";
import { BookingCommand } from "./BookingCommand.js";
import { BookingFleet } from "./BookingFleet.js";
import { bookingStepArbitrary } from "./bookingStepArbitrary.js";

const maxSteps = 30;

/** Property: no random fault schedule makes the booking service violate an invariant. `isFailure` selects which count. */
export function bookingSchedules(
    plant?: (service: LogBookingService) => void,
    onViolations: (violations: readonly Violation[]) => void = () => undefined,
    isFailure: (violations: readonly Violation[]) => boolean = violations => violations.length > 0,
    createFleet = () => new BookingFleet(plant),
    limits = BookingFleet.settings,
): fc.IAsyncProperty<[Iterable<fc.AsyncCommand<object, BookingFleet>>]> {
    const commands = fc.commands([bookingStepArbitrary.map(step => new BookingCommand(step))], { maxCommands: maxSteps, size: "max" });
    return fc.asyncProperty(commands, async steps => {
        const fleet = createFleet();
        await fc.asyncModelRun(() => ({ model: {}, real: fleet }), steps);
        await fleet.finish();
        const violations = checkBookings(fleet.history, limits);
        onViolations(violations);
        if (isFailure(violations)) {
            throw new Error(violations.map(({ invariant, detail }) => `${invariant}: ${detail}`).join("; "));
        }
    });
}
