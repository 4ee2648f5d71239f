import { create } from "@bufbuild/protobuf";
import type { ConfigObject } from "../../schema/config/ConfigObject.js";
import { type StoredObject, StoredObjectSchema } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import type { ConfigService } from "../services/ConfigService.js";
import { objectToProto } from "./objectToProto.js";

/** Converts an object to its proto message, with its revision, or -1 if the object no longer exists. */
export function storedObjectToProto(config: ConfigService, object: ConfigObject): StoredObject {
    const revision = BigInt(config.findRevision(object.kind, object.value.name) ?? -1);
    return create(StoredObjectSchema, { object: objectToProto(object), revision });
}
