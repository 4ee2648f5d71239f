import { readFileSync } from "node:fs";
import type { ListenSettings } from "../../schema/settings/ListenSettings.js";

/** Certificate and key of a listener as PEM text; undefined for plain connections. Throws when a file cannot be read. */
export function readTls(
    listen: ListenSettings,
): { readonly certificate: string; readonly key: string; readonly certificateAuthority: string | undefined; } | undefined {
    const { tls } = listen;
    if (tls === undefined) {
        return undefined;
    }
    return {
        certificate: readFileSync(tls.certFile, "utf8"),
        key: readFileSync(tls.keyFile, "utf8"),
        certificateAuthority: tls.caFile === undefined ? undefined : readFileSync(tls.caFile, "utf8"),
    };
}
