import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { ModelPlacement } from "../../schema/config/ModelPlacement.js";
import type { EngineReport } from "../../schema/orders/EngineReport.js";
import type { EngineView } from "./EngineView.js";
import type { PlannedOrder } from "./PlannedOrder.js";
import { planOrders } from "./planOrders.js";

type HeldModel = EngineReport["models"][number];

const zones = ["ba", "lautoka", "nadi"];
const services = ["chat", "manual"];
const modelArbitrary = fc.record({
    model: fc.constantFrom(...services),
    version: fc.constantFrom("1", "2"),
    state: fc.constantFrom<HeldModel["state"]>("ready", "ready", "loading", "failed"),
});

function createEngine(index: number, models: readonly HeldModel[], overrides: Partial<EngineView> = {}): EngineView {
    return {
        id: `engine-${index}`,
        availabilityZone: zones[index % zones.length] as string,
        isLeaving: false,
        report: { models: [...models], role: "both", fencingNumber: -1 },
        hasRecentReport: true,
        hasPendingOrder: false,
        failedPlacementKeys: new Set(),
        ...overrides,
    };
}

function createPlacement(model: string, version: string, replicas: number): ModelPlacement {
    return ModelPlacement.parse({ model, version, replicas });
}

function countReadyEngines(engines: readonly EngineView[], model: string): number {
    return engines.filter(view => view.report?.models.some(held => held.model === model && held.state === "ready")).length;
}

/** The engines' reports once all orders have taken effect and all models have finished loading. */
function applyOrders(engines: readonly EngineView[], orders: readonly PlannedOrder[]): EngineView[] {
    return engines.map(view => {
        const order = orders.find(planned => planned.engineId === view.id)?.order;
        const models = (view.report?.models ?? []).map(held => held.state === "loading" ? { ...held, state: "ready" as const } : held);
        if (view.report === undefined || order === undefined) {
            return { ...view, report: { models, role: view.report?.role ?? "both", fencingNumber: -1 } };
        }
        const others = models.filter(held => held.model !== order.model || held.version !== order.version);
        const loadedModel: HeldModel = { model: order.model, version: order.version, state: "loading" };
        const after = order.action === "load" ? [...others, loadedModel] : order.action === "unload" ? others : models;
        return { ...view, report: { models: after, role: order.action === "role" ? order.role : view.report.role, fencingNumber: -1 } };
    });
}

const engines = fc.array(fc.uniqueArray(modelArbitrary, { maxLength: 2, selector: held => held.model + held.version }), {
    minLength: 1,
    maxLength: 8,
}).map(modelLists => modelLists.map((models, index) => createEngine(index, models)));
const placements = fc.tuple(fc.nat(4), fc.nat(4), fc.nat(4)).map(([first, second, third]) => [
    createPlacement("chat", "2", first),
    createPlacement("manual", "1", second),
    createPlacement("manual", "2", third),
]);

test("repeated plans converge to the wanted placements and never leave a service without a ready engine", () => {
    fc.assert(
        fc.property(engines, placements, fc.integer({ min: 1, max: 4 }), (start, wanted, maxLoading) => {
            let current = start;
            for (let round = 0; round < 40; round++) {
                const orders = planOrders({ placements: wanted, services, engines: current, maxConcurrentLoads: maxLoading });
                expect(planOrders({ placements: wanted, services, engines: current, maxConcurrentLoads: maxLoading })).toEqual(orders);
                const next = applyOrders(current, orders);
                for (const service of services) {
                    expect(countReadyEngines(next, service)).toBeGreaterThanOrEqual(Math.min(1, countReadyEngines(current, service)));
                }
                if (orders.length === 0 && JSON.stringify(next) === JSON.stringify(current)) {
                    break;
                }
                current = next;
            }
            expect(planOrders({ placements: wanted, services, engines: current, maxConcurrentLoads: maxLoading })).toEqual([]);
            const missing = wanted.reduce((sum, { replicas }) => sum + replicas, 0) <= current.length
                ? wanted.filter(({ model, version, replicas }) => countHolders(current, model, version) < replicas)
                : [];
            expect(missing).toEqual([]);
        }),
        { seed: 1, numRuns: 500 },
    );
});

function countHolders(views: readonly EngineView[], model: string, version: string): number {
    return views.filter(view => view.report?.models.some(held => held.model === model && held.version === version)).length;
}

test("concurrent loads stay within the weight store's limit and are spread over the availability zones", () => {
    const empty = [0, 3, 6, 1, 4, 2].map(index => createEngine(index, []));
    const orders = planOrders({ placements: [createPlacement("chat", "2", 6)], services, engines: empty, maxConcurrentLoads: 3 });
    const loadedZones = orders.map(order => empty.find(view => view.id === order.engineId)?.availabilityZone);
    expect(loadedZones.sort()).toEqual(zones);
});

test("an engine without a recent report keeps its placement and gets no order", () => {
    const held: HeldModel = { model: "chat", version: "2", state: "ready" };
    const views = [createEngine(0, [held], { hasRecentReport: false }), createEngine(1, [])];
    expect(planOrders({ placements: [createPlacement("chat", "2", 1)], services, engines: views, maxConcurrentLoads: 2 })).toEqual([]);
});

test("on an engine assigned to a new version, the old version is unloaded only once the new one is ready", () => {
    const old: HeldModel = { model: "chat", version: "1", state: "ready" };
    const wanted = [createPlacement("chat", "2", 1)];
    const plan = (state: HeldModel["state"]) =>
        planOrders({
            placements: wanted,
            services,
            engines: [createEngine(0, [old, { model: "chat", version: "2", state }])],
            maxConcurrentLoads: 1,
        });
    expect(plan("loading")).toEqual([]);
    expect(plan("ready").map(({ order }) => [order.action, order.version])).toEqual([["unload", "1"]]);
});

test("without the list of services, the planner unloads the last ready engine of a service, which the readiness check detects", () => {
    const found = fc.check(
        fc.property(engines, placements, (start, wanted) => {
            const next = applyOrders(start, planOrders({ placements: wanted, services: [], engines: start, maxConcurrentLoads: 2 }));
            return services.every(service => countReadyEngines(next, service) >= Math.min(1, countReadyEngines(start, service)));
        }),
        { seed: 1, numRuns: 500 },
    );
    expect(found.failed).toEqual(true);
});
