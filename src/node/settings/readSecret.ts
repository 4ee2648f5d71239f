import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import type { SecretSource } from "../../schema/settings/SecretSource.js";

const minSecretLength = 16;

/** Reads and trims a secret from its file or environment variable. The error message names the source, never the value. */
export function readSecret(
    source: SecretSource,
    environment: Readonly<Record<string, string | undefined>> = process.env,
): Result<string, string> {
    return readSource(source, environment).andThen(text => {
        const secret = text.trim();
        return secret.length < minSecretLength
            ? err(`${describeSource(source)} contains fewer than ${minSecretLength} characters`)
            : ok(secret);
    });
}

function readSource(source: SecretSource, environment: Readonly<Record<string, string | undefined>>): Result<string, string> {
    if (source.env !== undefined) {
        const value = environment[source.env];
        return value === undefined ? err(`${describeSource(source)} is not set`) : ok(value);
    }
    try {
        return ok(readFileSync(source.file ?? "", "utf8"));
    }
    catch (error) {
        return err(`${describeSource(source)} cannot be read (${(error as NodeJS.ErrnoException).code ?? "error"})`);
    }
}

function describeSource(source: SecretSource): string {
    return source.env === undefined ? `file ${source.file}` : `environment variable ${source.env}`;
}
