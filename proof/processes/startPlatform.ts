import { exampleZones } from "../../src/cli/quickstart/exampleZones.js";
import { EngineStandin } from "../../standins/engine/EngineStandin.js";
import { LogStandin } from "../../standins/log/LogStandin.js";
import { ServiceStandin } from "../../standins/service/ServiceStandin.js";
import { VmListStandin } from "../../standins/vmlist/VmListStandin.js";
import { WeightStoreStandin } from "../../standins/weights/WeightStoreStandin.js";

const paths = ["old", "new"] as const;
const answerTokens = 400;
const stepMs = 5;

/** Starts the stand-ins of a process fleet: slow enough engines that answers are under way when a fault strikes. */
export async function startPlatform(signal: AbortSignal) {
    const log = new LogStandin();
    const vmList = new VmListStandin();
    const weights = new WeightStoreStandin();
    const engines = new Map<string, EngineStandin>();
    const services = new Map<string, ServiceStandin>();
    const places = paths.flatMap(path => exampleZones.map(availabilityZone => ({ path, availabilityZone })));
    const enginePlaces = await Promise.all(places.map(async place => {
        const id = `engine-${place.path}-${place.availabilityZone}`;
        const engine = new EngineStandin({ models: ["pumpline-model"], naturalAnswerTokens: answerTokens, stepMs });
        engines.set(id, engine);
        return { id, url: await engine.start(signal), ...place };
    }));
    const servicePlaces = await Promise.all(places.map(async place => {
        const id = `jobs-${place.path}-${place.availabilityZone}`;
        const service = new ServiceStandin({ name: "pumpline-jobs", runMs: 20 });
        services.set(id, service);
        return { id, url: await service.start(signal), ...place };
    }));
    const urls = {
        log: (await log.start(signal)).url,
        vmList: await vmList.start(signal),
        weightStore: await weights.start(signal),
        engines: enginePlaces,
        services: servicePlaces,
    };
    return { urls, log, vmList, engines, services };
}
