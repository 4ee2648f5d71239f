import * as z from "zod";

/** PEM certificate and key files. With `caFile`, the other side must present a certificate signed by that authority. */
export const TlsSettings = z.strictObject({
    certFile: z.string().min(1),
    keyFile: z.string().min(1),
    caFile: z.string().min(1).optional(),
});
export type TlsSettings = z.infer<typeof TlsSettings>;
