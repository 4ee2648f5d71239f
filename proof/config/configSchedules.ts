import fc from "fast-check";
import type { LogConfigService } from "../../src/node/config/LogConfigService.js";
import { checkConfig } from "../checker/checkConfig.js";
import type { Violation } from "../checker/Violation.js";
import { ConfigCommand } from "./ConfigCommand.js";
import { ConfigFleet } from "./ConfigFleet.js";
import { configStepArbitrary } from "./configStepArbitrary.js";

const maxSteps = 30;

/** Property: no random fault schedule makes the configuration service violate an invariant. `isFailure` selects which count. */
export function configSchedules(
    plant?: (service: LogConfigService, vm: number) => void,
    onViolations: (violations: readonly Violation[]) => void = () => undefined,
    isFailure: (violations: readonly Violation[]) => boolean = violations => violations.length > 0,
): fc.IAsyncProperty<[Iterable<fc.AsyncCommand<object, ConfigFleet>>]> {
    const commands = fc.commands([configStepArbitrary.map(step => new ConfigCommand(step))], { maxCommands: maxSteps, size: "max" });
    return fc.asyncProperty(commands, async steps => {
        const fleet = new ConfigFleet(plant);
        await fleet.begin();
        await fc.asyncModelRun(() => ({ model: {}, real: fleet }), steps);
        await fleet.finish();
        const violations = checkConfig(fleet.history);
        onViolations(violations);
        if (isFailure(violations)) {
            throw new Error(violations.map(({ invariant, detail }) => `${invariant}: ${detail}`).join("; "));
        }
    });
}
