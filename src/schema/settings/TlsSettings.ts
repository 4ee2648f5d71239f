import * as z from "zod";

/** Certificate files in PEM. With `caFile`, the other side must show a certificate signed by it. */
export const TlsSettings = z.strictObject({
    certFile: z.string().min(1),
    keyFile: z.string().min(1),
    caFile: z.string().min(1).optional(),
});
export type TlsSettings = z.infer<typeof TlsSettings>;
