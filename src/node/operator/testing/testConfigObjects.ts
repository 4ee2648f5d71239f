import { ConfigObject } from "../../../schema/config/ConfigObject.js";

/** Configuration for tests: objects of every kind, with one pool on each path. */
export const testConfigObjects: readonly ConfigObject[] = [
    { kind: "serviceClass", value: { name: "urgent", tier: 0, firstTokenTargetMs: 450, tokenGapTargetMs: 35 } },
    { kind: "customer", value: { name: "van", keyHashes: ["0".repeat(64)], classes: ["urgent"], defaultClass: "urgent" } },
    {
        kind: "pool",
        value: {
            name: "engines-old",
            path: "old",
            kind: "engine",
            services: ["model"],
            upstreams: [{ id: "e1", url: "http://127.0.0.1:1", availabilityZone: "nadi" }],
            repeatable: true,
            placements: [{ model: "model", version: "1", replicas: 1 }],
        },
    },
    {
        kind: "pool",
        value: {
            name: "engines-new",
            path: "new",
            kind: "engine",
            services: ["model"],
            upstreams: [{ id: "e2", url: "http://127.0.0.1:2", availabilityZone: "ba" }, {
                id: "e3",
                url: "http://127.0.0.1:3",
                availabilityZone: "nadi",
            }],
            repeatable: true,
        },
    },
    { kind: "pathShare", value: { name: "model/urgent", service: "model", serviceClass: "urgent", newPathPercent: 0 } },
].map(object => ConfigObject.parse(object));
