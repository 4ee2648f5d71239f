import { exampleZones } from "../../src/cli/quickstart/exampleZones.js";
import { EngineStandin } from "../../standins/engine/EngineStandin.js";
import { LogStandin } from "../../standins/log/LogStandin.js";
import { ServiceStandin } from "../../standins/service/ServiceStandin.js";
import { VmListStandin } from "../../standins/vmlist/VmListStandin.js";
import { WeightStoreStandin } from "../../standins/weights/WeightStoreStandin.js";

const paths = ["old", "new"] as const;
const answerTokens = 400;
const stepMs = 5;

/** Starts the stand-ins of a process fleet; the engines are slow enough that streams are in flight when a fault is injected. */
export async function startPlatform(signal: AbortSignal) {
    const log = new LogStandin();
    const vmList = new VmListStandin();
    const weights = new WeightStoreStandin();
    const engines = new Map<string, EngineStandin>();
    const services = new Map<string, ServiceStandin>();
    const locations = paths.flatMap(path => exampleZones.map(availabilityZone => ({ path, availabilityZone })));
    const engineAddresses = await Promise.all(locations.map(async location => {
        const id = `engine-${location.path}-${location.availabilityZone}`;
        const engine = new EngineStandin({ models: ["pumpline-model"], naturalAnswerTokens: answerTokens, stepMs });
        engines.set(id, engine);
        return { id, url: await engine.start(signal), ...location };
    }));
    const serviceAddresses = await Promise.all(locations.map(async location => {
        const id = `jobs-${location.path}-${location.availabilityZone}`;
        const service = new ServiceStandin({ name: "pumpline-jobs", runMs: 20 });
        services.set(id, service);
        return { id, url: await service.start(signal), ...location };
    }));
    const urls = {
        log: (await log.start(signal)).url,
        vmList: await vmList.start(signal),
        weightStore: await weights.start(signal),
        engines: engineAddresses,
        services: serviceAddresses,
    };
    return { urls, log, vmList, engines, services };
}
