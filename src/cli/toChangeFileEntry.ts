import { objectFromProto } from "../node/operator/objectFromProto.js";
import type { StoredObject } from "../schema/generated/orioleshelf/v1/operator_pb.js";

/** Converts a stored object to an entry of a change file: kind, revision at which it was read, and value. */
export function toChangeFileEntry(stored: StoredObject): Record<string, unknown> {
    const object = stored.object === undefined ? undefined : objectFromProto(stored.object).unwrapOr(undefined);
    return { kind: object?.kind, readRevision: Number(stored.revision), value: object?.value };
}
