import * as z from "zod";
import { ConfigKind } from "../../schema/config/ConfigKind.js";
import { ConfigObject } from "../../schema/config/ConfigObject.js";

/** The whole state of the configuration fold as of `offset`. */
export const ConfigSnapshot = z.strictObject({
    type: z.literal("snapshot"),
    formatVersion: z.literal(1),
    offset: z.int(),
    objects: z.array(z.strictObject({ object: ConfigObject, revision: z.int() })),
    /** Deleted objects, oldest first, with the offset of their deletion. */
    deletions: z.array(z.strictObject({ kind: ConfigKind, name: z.string(), revision: z.int() })),
    /** Deletions up to this offset are no longer known one by one. */
    deletionFloor: z.int(),
    /** Ids of the last invalid changes, oldest first. */
    invalidIds: z.array(z.string()),
    /** Wall-clock milliseconds since the epoch at which it was written; tells its age, nothing else. */
    writtenAtMs: z.number().optional(),
});
export type ConfigSnapshot = z.infer<typeof ConfigSnapshot>;
