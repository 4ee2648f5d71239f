import { createHash } from "node:crypto";
import type { ConfigView } from "../../src/core/config/ConfigView.js";
import { Customer } from "../../src/schema/config/Customer.js";
import { Pool } from "../../src/schema/config/Pool.js";
import { ServiceClass } from "../../src/schema/config/ServiceClass.js";
import { benchCaller } from "./benchCaller.js";

/** Configuration with one customer, one service class and one pool of the given engines. */
export function benchView(engineUrls: readonly string[]): ConfigView {
    const pool = Pool.parse({
        name: "engines",
        path: "new",
        kind: "engine",
        services: [benchCaller.model],
        upstreams: engineUrls.map((url, index) => ({ id: `engine-${index}`, url, availabilityZone: "nadi" })),
        repeatable: true,
        maxInFlight: 10_000,
    });
    const serviceClass = ServiceClass.parse({ name: "urgent", tier: 0, firstTokenTargetMs: 450, tokenGapTargetMs: 35 });
    const customer = Customer.parse({
        name: "bench",
        keyHashes: [createHash("sha256").update(benchCaller.key).digest("hex")],
        classes: [serviceClass.name],
        defaultClass: serviceClass.name,
    });
    return {
        offset: 1,
        serviceClasses: new Map([[serviceClass.name, serviceClass]]),
        customers: new Map([[customer.name, customer]]),
        pools: new Map([[pool.name, pool]]),
        pathShares: new Map(),
    };
}
