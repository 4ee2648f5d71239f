import * as z from "zod";
import { ConfigKind } from "../schema/config/ConfigKind.js";
import { ConfigObject } from "../schema/config/ConfigObject.js";

const readRevision = z.int().optional();
const [serviceClass, customer, pool, pathShare] = ConfigObject.options;

/** Content of a change file for `apply`: objects to put and to delete in one atomic change. */
export const ChangeFile = z.strictObject({
    put: z.array(z.discriminatedUnion("kind", [
        serviceClass.extend({ readRevision }),
        customer.extend({ readRevision }),
        pool.extend({ readRevision }),
        pathShare.extend({ readRevision }),
    ])).default([]),
    delete: z.array(z.strictObject({ kind: ConfigKind, name: z.string().min(1), readRevision })).default([]),
});
export type ChangeFile = z.infer<typeof ChangeFile>;
