import { EngineStandin } from "../../../standins/engine/EngineStandin.js";
import { LogStandin } from "../../../standins/log/LogStandin.js";
import { ServiceStandin } from "../../../standins/service/ServiceStandin.js";
import { VmListStandin } from "../../../standins/vmlist/VmListStandin.js";
import { WeightStoreStandin } from "../../../standins/weights/WeightStoreStandin.js";
import { exampleZones } from "./exampleZones.js";
import type { StandinUrls } from "./StandinUrls.js";

const paths = ["old", "new"] as const;

/** Starts stand-ins for the platform, and for both paths an engine and a plain service in each zone. They end with `signal`. */
export async function startStandins(signal: AbortSignal): Promise<StandinUrls> {
    const [log, vmList, weightStore, engines, services] = await Promise.all([
        new LogStandin().start(signal),
        new VmListStandin().start(signal),
        new WeightStoreStandin().start(signal),
        Promise.all(
            eachPlace().map(async ({ path, availabilityZone }) => {
                const engine = new EngineStandin({ models: ["pumpline-model"], naturalAnswerTokens: 24 });
                return { id: `engine-${path}-${availabilityZone}`, url: await engine.start(signal), availabilityZone, path };
            }),
        ),
        Promise.all(
            eachPlace().map(async ({ path, availabilityZone }) => {
                const service = new ServiceStandin({ name: "pumpline-jobs", runMs: 5 });
                return { id: `jobs-${path}-${availabilityZone}`, url: await service.start(signal), availabilityZone, path };
            }),
        ),
    ]);
    return { log: log.url, vmList, weightStore, engines, services };
}

function eachPlace(): { path: "old" | "new"; availabilityZone: string; }[] {
    return paths.flatMap(path => exampleZones.map(availabilityZone => ({ path, availabilityZone })));
}
