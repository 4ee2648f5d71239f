import * as z from "zod";
import { Customer } from "./Customer.js";
import { PathShare } from "./PathShare.js";
import { Pool } from "./Pool.js";
import { ServiceClass } from "./ServiceClass.js";

/** Any object an operator can set, tagged by its kind. `kind` and `value.name` identify it. */
export const ConfigObject = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("serviceClass"), value: ServiceClass }),
    z.strictObject({ kind: z.literal("customer"), value: Customer }),
    z.strictObject({ kind: z.literal("pool"), value: Pool }),
    z.strictObject({ kind: z.literal("pathShare"), value: PathShare }),
]);
export type ConfigObject = z.infer<typeof ConfigObject>;
