import type { RelayRoute } from "../../../schema/relay/RelayRoute.js";

/** A route for tests; fields that matter are given. */
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
