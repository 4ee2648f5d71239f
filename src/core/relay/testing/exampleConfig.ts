import type { RelayConfig } from "../../../schema/relay/RelayConfig.js";
import { exampleRoute } from "./exampleRoute.js";

/** Creates a configuration for tests; `fields` override the defaults. */
export function exampleConfig(fields: Partial<RelayConfig> = {}): RelayConfig {
    return {
        version: 1n,
        routes: [exampleRoute()],
        services: [{ name: "orders", maxConnections: 100, engine: undefined, scaling: undefined }],
        customers: [{ name: "ana", keys: ["key-1"], tier: undefined }],
        limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        ...fields,
    };
}
