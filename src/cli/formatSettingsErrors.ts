import type { NonEmptyList } from "purify-ts/NonEmptyList";
import type { SettingsError } from "../node/settings/SettingsError.js";

/** One line for each fault of a settings file: place, fault, remedy. */
export function formatSettingsErrors(file: string, errors: NonEmptyList<SettingsError>): string[] {
    return [...errors].map(({ line, path, message, remedy }) => {
        const place = line === undefined ? file : `${file}:${line}`;
        return `${place}: ${path === "" ? "" : `${path}: `}${message}; ${remedy}`;
    });
}
