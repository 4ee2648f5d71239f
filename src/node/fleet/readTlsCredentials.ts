import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import type { ListenSettings } from "../../schema/settings/ListenSettings.js";
import type { TlsCredentials } from "./TlsCredentials.js";
import type { VmStartError } from "./VmStartError.js";

/** Reads the certificate files of a listener; undefined for plain connections. `setting` names the listener in errors. */
export function readTlsCredentials(listen: ListenSettings, setting: string): Result<TlsCredentials | undefined, VmStartError> {
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
