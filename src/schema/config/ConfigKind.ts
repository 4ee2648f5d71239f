import * as z from "zod";

/** Kinds of configuration objects. */
export const ConfigKind = z.enum(["serviceClass", "customer", "pool", "pathShare"]);
export type ConfigKind = z.infer<typeof ConfigKind>;
