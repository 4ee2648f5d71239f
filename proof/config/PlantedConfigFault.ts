import type { LogConfigService } from "../../src/node/config/LogConfigService.js";

/** A fault put into the service on purpose, and the invariant that must notice it. */
export interface PlantedConfigFault {
    readonly name: string;
    readonly invariant: string;
    readonly plant: (service: LogConfigService, vm: number) => void;
}
