import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import type { ListenSettings } from "../../schema/settings/ListenSettings.js";
import type { StartError } from "./StartError.js";
import type { TlsTexts } from "./TlsTexts.js";

/** Reads the certificate files of a listener; undefined for plain connections. `setting` names the listener in errors. */
export function readTls(listen: ListenSettings, setting: string): Result<TlsTexts | undefined, StartError> {
    const { tls } = listen;
    if (tls === undefined) {
        return ok(undefined);
    }
    try {
        return ok({
            certificate: readFileSync(tls.certFile, "utf8"),
            key: readFileSync(tls.keyFile, "utf8"),
            certificateAuthority: tls.caFile === undefined ? undefined : readFileSync(tls.caFile, "utf8"),
        });
    }
    catch (error) {
        return err({ kind: "unreadable", message: `${(error as Error).message}; correct ${setting}.tls` });
    }
}
