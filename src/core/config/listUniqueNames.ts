import type { ConfigObject } from "../../schema/config/ConfigObject.js";

/** Names that only one object of a kind may hold: key hashes of customers, upstream ids of pools. */
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
