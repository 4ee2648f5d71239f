import { toJson } from "@bufbuild/protobuf";
import { err, ok, type Result } from "neverthrow";
import { ConfigObject } from "../../schema/config/ConfigObject.js";
import { type ConfigObject as ProtoObject, ConfigObjectSchema } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { enumNameConversion } from "./enumNameConversion.js";

type Json = Record<string, unknown>;

/** Converts a proto message to a validated configuration object. Each error is a line `path: problem`. */
export function objectFromProto(message: ProtoObject): Result<ConfigObject, readonly string[]> {
    const [entry] = Object.entries(toJson(ConfigObjectSchema, message, { alwaysEmitImplicit: true }) as Json);
    if (entry === undefined) {
        return err(["object: none is set; set one of serviceClass, customer, pool, pathShare"]);
    }
    const [kind, value] = entry;
    const parsed = ConfigObject.safeParse({ kind, value: kind === "pool" ? poolFromProtoJson(value as Json) : value });
    return parsed.success ? ok(parsed.data) : err(parsed.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`));
}

function poolFromProtoJson(pool: Json): Json {
    const placements = (pool["placements"] ?? []) as Json[];
    return {
        ...pool,
        path: enumNameConversion.fromProto("PATH", pool["path"]),
        kind: enumNameConversion.fromProto("UPSTREAM_KIND", pool["kind"]),
        placements: placements.map(placement =>
            placement["role"] === undefined
                ? placement
                : { ...placement, role: enumNameConversion.fromProto("ENGINE_ROLE", placement["role"]) }
        ),
    };
}
