import * as z from "zod";

/** Where a secret is read from: a file, or a variable of the environment. Its value never stands in the settings. */
export const SecretSource = z.strictObject({
    file: z.string().min(1).optional(),
    env: z.string().min(1).optional(),
}).refine(source => (source.file === undefined) !== (source.env === undefined), "give exactly one of `file` and `env`");
export type SecretSource = z.infer<typeof SecretSource>;
