import type { NonEmptyList } from "purify-ts/NonEmptyList";
import type { SettingsError } from "../node/settings/SettingsError.js";

/** Formats each error of a settings file as one line: location, error, remedy. */
export function formatSettingsErrors(file: string, errors: NonEmptyList<SettingsError>): string[] {
    return [...errors].map(({ line, path, message, remedy }) => {
        const location = line === undefined ? file : `${file}:${line}`;
        return `${location}: ${path === "" ? "" : `${path}: `}${message}; ${remedy}`;
    });
}
