import type { LogBookingService } from "../../src/node/booking/LogBookingService.js";

/** A fault injected into the service, and the invariant whose check must detect it. */
export interface PlantedBookingFault {
    readonly name: string;
    readonly invariant: string;
    readonly plant: (service: LogBookingService) => void;
}
