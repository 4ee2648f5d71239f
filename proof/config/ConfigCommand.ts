import type fc from "fast-check";
import type { ConfigFleet } from "./ConfigFleet.js";
import type { ConfigStep } from "./ConfigStep.js";

/** Adapts a configuration step to a fast-check command. */
export class ConfigCommand implements fc.AsyncCommand<object, ConfigFleet> {
    constructor(private readonly step: ConfigStep) {}

    check(): boolean {
        return true;
    }

    run(...[, fleet]: [object, ConfigFleet]): Promise<void> {
        return fleet.perform(this.step);
    }

    toString(): string {
        return JSON.stringify(this.step);
    }
}
