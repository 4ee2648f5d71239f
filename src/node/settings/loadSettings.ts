import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { NonEmptyList } from "purify-ts/NonEmptyList";
import type { SecretSource } from "../../schema/settings/SecretSource.js";
import type { Settings } from "../../schema/settings/Settings.js";
import { parseSettings } from "./parseSettings.js";
import { readSecret } from "./readSecret.js";
import type { SettingsError } from "./SettingsError.js";

/**
 * Reads and validates a settings file, then checks that its secrets can be read. Errors of the same step are returned together;
 * secrets are checked only when the settings are valid.
 */
export function loadSettings(
    file: string,
    environment: Readonly<Record<string, string | undefined>> = process.env,
): Result<Settings, NonEmptyList<SettingsError>> {
    return readSettingsFile(file).andThen(parseSettings).andThen(settings => checkSecrets(settings, environment));
}

function readSettingsFile(file: string): Result<string, NonEmptyList<SettingsError>> {
    try {
        return ok(readFileSync(file, "utf8"));
    }
    catch (error) {
        const code = (error as NodeJS.ErrnoException).code ?? "error";
        const unreadable: SettingsError = {
            kind: "unreadable",
            line: undefined,
            path: "",
            message: `${file} cannot be read (${code})`,
            remedy: "give the path of a readable settings file",
        };
        return err(NonEmptyList([unreadable]));
    }
}

function checkSecrets(
    settings: Settings,
    environment: Readonly<Record<string, string | undefined>>,
): Result<Settings, NonEmptyList<SettingsError>> {
    const errors = [
        ...checkSecret("peers.key", settings.peers.key, environment),
        ...checkSecret("operator.token", settings.operator.token, environment),
    ];
    return NonEmptyList.fromArray(errors).caseOf<Result<Settings, NonEmptyList<SettingsError>>>({ Just: err, Nothing: () => ok(settings) });
}

function checkSecret(path: string, source: SecretSource, environment: Readonly<Record<string, string | undefined>>): SettingsError[] {
    return readSecret(source, environment).match(
        () => [],
        message => [{ kind: "secret", line: undefined, path, message, remedy: "provide a secret of at least 16 characters" }],
    );
}
