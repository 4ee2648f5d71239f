import type { LogConfigService } from "../../src/node/config/LogConfigService.js";

/** A fault injected into the service, and the invariant whose check must detect it. */
export interface PlantedConfigFault {
    readonly name: string;
    readonly invariant: string;
    readonly plant: (service: LogConfigService, vm: number) => void;
}
