import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import type { ListenSettings } from "../../schema/settings/ListenSettings.js";
import type { TlsCredentials } from "./TlsCredentials.js";
import type { VmStartError } from "./VmStartError.js";

/** Reads the TLS files of a listener; undefined without TLS. `setting` is the settings path of the listener, for error messages. */
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
