import { expect } from "earl";
import { test } from "node:test";
import { admitRelayCall } from "./admitRelayCall.js";
import { RouteTable } from "./RouteTable.js";
import { exampleCall } from "./testing/exampleCall.js";
import { exampleConfig } from "./testing/exampleConfig.js";
import { exampleRoute } from "./testing/exampleRoute.js";

function admit(config: Parameters<typeof exampleConfig>[0], call: Parameters<typeof exampleCall>[0]): string {
    return admitRelayCall(new RouteTable(exampleConfig(config)), exampleCall(call)).match(
        ({ route, customer, tier }) => `${route.name} ${customer?.name ?? "-"} ${tier}`,
        ({ status, reason }) => `${status} ${reason}`,
    );
}

test("the route with the longest path prefix matches, and the port of the host is ignored", () => {
    const routes = [exampleRoute(), exampleRoute({ name: "deep", pathPrefix: "/a/b/" })];
    expect(admit({ routes }, { path: "/a/b/c", host: "Shop.example:8080" })).toEqual("deep ana 1");
    expect(admit({ routes }, { path: "/a/bc" })).toEqual("route ana 1");
    expect(admit({ routes }, { path: "/a" })).toEqual("404 no-route");
    expect(admit({ routes }, { host: "other.example" })).toEqual("404 no-route");
});

test("a call without a known key is denied unless its route is public or no customers are configured", () => {
    expect(admit({}, { key: undefined })).toEqual("401 unknown-key");
    expect(admit({}, { key: "key-2" })).toEqual("401 unknown-key");
    expect(admit({ routes: [exampleRoute({ isPublic: true })] }, { key: undefined })).toEqual("route - 1");
    expect(admit({ customers: undefined }, { key: "anything" })).toEqual("route - 1");
});

test("the tier of the customer overrides that of the route", () => {
    expect(admit({ customers: [{ name: "ana", keys: ["key-1"], tier: 0 }] }, {})).toEqual("route ana 0");
});
