import * as z from "zod";

/** Kinds of configuration object. */
export const ConfigKind = z.enum(["serviceClass", "customer", "pool", "pathShare"]);
export type ConfigKind = z.infer<typeof ConfigKind>;
