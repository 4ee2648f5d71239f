import type { RelayRoute } from "../../../schema/relay/RelayRoute.js";

/** Creates a route for tests; `fields` override the defaults. */
export function exampleRoute(fields: Partial<RelayRoute> = {}): RelayRoute {
    return {
        name: "route",
        host: "shop.example",
        pathPrefix: "/a/",
        kind: "repeatable",
        timeoutMs: 1_500,
        targetMs: 300,
        gapTargetMs: undefined,
        tier: 1,
        shares: [{ service: "orders", weight: 1 }],
        maxAttempts: 2,
        isPublic: false,
        isResumable: false,
        ...fields,
    };
}
