import { fromJson, type JsonValue } from "@bufbuild/protobuf";
import type { ConfigObject } from "../../schema/config/ConfigObject.js";
import type { Pool } from "../../schema/config/Pool.js";
import { type ConfigObject as ProtoObject, ConfigObjectSchema } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { enumNameConversion } from "./enumNameConversion.js";

/** Converts a configuration object to its proto message. Both schemas use the same JSON field names. */
export function objectToProto(object: ConfigObject): ProtoObject {
    const value = object.kind === "pool" ? poolToProtoJson(object.value) : object.value;
    return fromJson(ConfigObjectSchema, { [object.kind]: value } as JsonValue);
}

function poolToProtoJson(pool: Pool): unknown {
    return {
        ...pool,
        path: enumNameConversion.toProto("PATH", pool.path),
        kind: enumNameConversion.toProto("UPSTREAM_KIND", pool.kind),
        placements: pool.placements.map(placement => ({ ...placement, role: enumNameConversion.toProto("ENGINE_ROLE", placement.role) })),
    };
}
