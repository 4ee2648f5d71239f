import * as z from "zod";
import { TlsSettings } from "./TlsSettings.js";

/** An address to listen on; with port 0 the operating system picks a free port. */
export const ListenSettings = z.strictObject({
    host: z.string().min(1).default("127.0.0.1"),
    port: z.int().min(0).max(65_535),
    tls: TlsSettings.optional(),
});
export type ListenSettings = z.infer<typeof ListenSettings>;
