import * as z from "zod";
import { ConfigKind } from "./ConfigKind.js";
import { ConfigObject } from "./ConfigObject.js";

/**
 * One record of the configuration stream: operations that are applied atomically. `readRevision` is the stream offset at which the
 * operator read the object; the fold rejects the whole change if any of its objects was changed at a later offset.
 */
export const ConfigChange = z.strictObject({
    type: z.literal("change"),
    formatVersion: z.literal(1),
    /** Unique id by which the publisher recognises its own record. */
    changeId: z.string().min(1),
    author: z.string(),
    operations: z.array(z.discriminatedUnion("op", [
        z.strictObject({ op: z.literal("put"), object: ConfigObject, readRevision: z.int().optional() }),
        z.strictObject({ op: z.literal("delete"), kind: ConfigKind, name: z.string(), readRevision: z.int().optional() }),
    ])).min(1).max(500),
});
export type ConfigChange = z.infer<typeof ConfigChange>;
