import type { ConfigObject } from "../../schema/config/ConfigObject.js";

/** Names in an object that must be unique among the objects of its kind: key hashes of customers and upstream ids of pools. */
export function listUniqueNames(object: ConfigObject): readonly string[] {
    switch (object.kind) {
        case "customer":
            return object.value.keyHashes;
        case "pool":
            return object.value.upstreams.map(upstream => upstream.id);
        default:
            return [];
    }
}
