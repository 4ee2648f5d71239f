import * as z from "zod";
import { ConfigKind } from "../../schema/config/ConfigKind.js";
import { ConfigObject } from "../../schema/config/ConfigObject.js";

/** State of the configuration fold as of `offset`. */
export const ConfigSnapshot = z.strictObject({
    type: z.literal("snapshot"),
    formatVersion: z.literal(1),
    offset: z.int(),
    objects: z.array(z.strictObject({ object: ConfigObject, revision: z.int() })),
    /** Deleted objects with the offset of their deletion, oldest first. */
    deletions: z.array(z.strictObject({ kind: ConfigKind, name: z.string(), revision: z.int() })),
    /** Deletions up to this offset may be missing from `deletions`; -1 if none is. */
    deletionFloor: z.int(),
    /** Ids of the most recent invalid changes, oldest first. */
    invalidIds: z.array(z.string()),
    /** Wall-clock time of writing in milliseconds since the epoch, used to decide when the next snapshot is due. */
    writtenAtMs: z.number().optional(),
});
export type ConfigSnapshot = z.infer<typeof ConfigSnapshot>;
