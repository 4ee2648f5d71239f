import { expect } from "earl";
import { test } from "node:test";
import { pickService } from "./pickService.js";
import { exampleRoute } from "./testing/exampleRoute.js";

test("calls are distributed by the weights of the services, and a request id always maps to the same service", () => {
    const route = exampleRoute({
        shares: [{ service: "old", weight: 90 }, { service: "new", weight: 10 }, { service: "none", weight: 0 }],
    });
    const counts = new Map<string | undefined, number>();
    for (let index = 0; index < 10_000; index++) {
        const service = pickService(route, `request-${index}`);
        counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    expect(Math.abs((counts.get("new") ?? 0) - 1_000) < 150).toEqual(true);
    expect(counts.get("none")).toEqual(undefined);
    expect(pickService(route, "x")).toEqual(pickService(route, "x"));
    expect(pickService(exampleRoute({ shares: [] }), "x")).toEqual(undefined);
});
