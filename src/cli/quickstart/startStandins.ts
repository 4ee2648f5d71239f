import { EngineStandin } from "../../../standins/engine/EngineStandin.js";
import { LogStandin } from "../../../standins/log/LogStandin.js";
import { ServiceStandin } from "../../../standins/service/ServiceStandin.js";
import { VmListStandin } from "../../../standins/vmlist/VmListStandin.js";
import { WeightStoreStandin } from "../../../standins/weights/WeightStoreStandin.js";
import { exampleZones } from "./exampleZones.js";
import type { StandinUrls } from "./StandinUrls.js";

const paths = ["old", "new"] as const;

/** Starts stand-ins for the platform services and, for each path and availability zone, an engine and a plain service. They stop when `signal` aborts. */
export async function startStandins(signal: AbortSignal): Promise<StandinUrls> {
    const [log, vmList, weightStore, engines, services] = await Promise.all([
        new LogStandin().start(signal),
        new VmListStandin().start(signal),
        new WeightStoreStandin().start(signal),
        Promise.all(
            listPathsAndZones().map(async ({ path, availabilityZone }) => {
                const engine = new EngineStandin({ models: ["pumpline-model"], naturalAnswerTokens: 24 });
                return { id: `engine-${path}-${availabilityZone}`, url: await engine.start(signal), availabilityZone, path };
            }),
        ),
        Promise.all(
            listPathsAndZones().map(async ({ path, availabilityZone }) => {
                const service = new ServiceStandin({ name: "pumpline-jobs", runMs: 5 });
                return { id: `jobs-${path}-${availabilityZone}`, url: await service.start(signal), availabilityZone, path };
            }),
        ),
    ]);
    return { log: log.url, vmList, weightStore, engines, services };
}

function listPathsAndZones(): { path: "old" | "new"; availabilityZone: string; }[] {
    return paths.flatMap(path => exampleZones.map(availabilityZone => ({ path, availabilityZone })));
}
