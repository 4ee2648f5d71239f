import type { LogBookingService } from "../../src/node/booking/LogBookingService.js";

/** A fault put into the service on purpose, and the invariant that must notice it. */
export interface PlantedBookingFault {
    readonly name: string;
    readonly invariant: string;
    readonly plant: (service: LogBookingService) => void;
}
