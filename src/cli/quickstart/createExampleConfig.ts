import { createHash } from "node:crypto";
import type { ConfigObject } from "../../schema/config/ConfigObject.js";
import { Customer } from "../../schema/config/Customer.js";
import type { PathShare } from "../../schema/config/PathShare.js";
import { Pool } from "../../schema/config/Pool.js";
import { ServiceClass } from "../../schema/config/ServiceClass.js";
import { exampleCustomers } from "./exampleCustomers.js";
import type { StandinUrls } from "./StandinUrls.js";

const paths = ["old", "new"] as const;

/** Creates the configuration of the quickstart: three classes, two customers, and pools of both paths, with half of the traffic on each path. */
export function createExampleConfig(urls: StandinUrls): ConfigObject[] {
    return [
        ...createExampleClasses().map(value => ({ kind: "serviceClass" as const, value })),
        ...exampleCustomers.map(customer => ({ kind: "customer" as const, value: toCustomer(customer) })),
        ...paths.map(path => ({ kind: "pool" as const, value: createEnginePool(urls, path) })),
        ...paths.map(path => ({ kind: "pool" as const, value: createServicePool(urls, path) })),
        ...createExampleShares().map(value => ({ kind: "pathShare" as const, value })),
    ];
}

function createExampleClasses(): ServiceClass[] {
    return [
        ServiceClass.parse({ name: "urgent", tier: 0, firstTokenTargetMs: 450, tokenGapTargetMs: 35 }),
        ServiceClass.parse({ name: "standard", tier: 1, firstTokenTargetMs: 1_000, tokenGapTargetMs: 60, floorShare: 0.05 }),
        ServiceClass.parse({
            name: "bulk",
            tier: 2,
            firstTokenTargetMs: 5_000,
            tokenGapTargetMs: 200,
            maxQueueMs: 60_000,
            floorShare: 0.05,
        }),
    ];
}

function toCustomer(customer: (typeof exampleCustomers)[number]): Customer {
    return Customer.parse({
        name: customer.name,
        keyHashes: [createHash("sha256").update(customer.key).digest("hex")],
        classes: [...customer.classes],
        defaultClass: customer.defaultClass,
        requestsPerMinute: 6_000,
        tokensPerMinute: 3_000_000,
        concurrentRequests: 500,
    });
}

function createEnginePool(urls: StandinUrls, path: "old" | "new"): Pool {
    return Pool.parse({
        name: `pumpline-model-${path}`,
        path,
        kind: "engine",
        services: ["pumpline-model"],
        upstreams: urls.engines.filter(engine => engine.path === path).map(toUpstream),
        repeatable: true,
    });
}

function createServicePool(urls: StandinUrls, path: "old" | "new"): Pool {
    return Pool.parse({
        name: `pumpline-jobs-${path}`,
        path,
        kind: "plain",
        services: ["pumpline-jobs"],
        upstreams: urls.services.filter(service => service.path === path).map(toUpstream),
        repeatable: false,
    });
}

function toUpstream({ id, url, availabilityZone }: StandinUrls["engines"][number]): { id: string; url: string; availabilityZone: string; } {
    return { id, url, availabilityZone };
}

function createExampleShares(): PathShare[] {
    return ["pumpline-model", "pumpline-jobs"].flatMap(service =>
        createExampleClasses().map(({ name }) => ({ name: `${service}/${name}`, service, serviceClass: name, newPathPercent: 50 }))
    );
}
