import * as z from "zod";

/** Source of a secret: a file or an environment variable. The settings never contain the secret itself. */
export const SecretSource = z.strictObject({
    file: z.string().min(1).optional(),
    env: z.string().min(1).optional(),
}).refine(source => (source.file === undefined) !== (source.env === undefined), "specify exactly one of `file` and `env`");
export type SecretSource = z.infer<typeof SecretSource>;
