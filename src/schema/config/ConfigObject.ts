import * as z from "zod";
import { Customer } from "./Customer.js";
import { PathShare } from "./PathShare.js";
import { Pool } from "./Pool.js";
import { ServiceClass } from "./ServiceClass.js";

/** A configuration object that an operator can set, identified by `kind` and `value.name`. */
export const ConfigObject = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("serviceClass"), value: ServiceClass }),
    z.strictObject({ kind: z.literal("customer"), value: Customer }),
    z.strictObject({ kind: z.literal("pool"), value: Pool }),
    z.strictObject({ kind: z.literal("pathShare"), value: PathShare }),
]);
export type ConfigObject = z.infer<typeof ConfigObject>;
