import type fc from "fast-check";
import type { BookingFleet } from "./BookingFleet.js";
import type { BookingStep } from "./BookingStep.js";

/** Adapts a booking step to a fast-check command. */
export class BookingCommand implements fc.AsyncCommand<object, BookingFleet> {
    constructor(private readonly step: BookingStep) {}

    check(): boolean {
        return true;
    }

    run(...[, fleet]: [object, BookingFleet]): Promise<void> {
        return fleet.perform(this.step);
    }

    toString(): string {
        return JSON.stringify(this.step);
    }
}
