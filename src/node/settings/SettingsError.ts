/** One error in a settings file. `line` counts from 1, `path` is the dotted path of the key and `remedy` says how to correct it. */
export interface SettingsError {
    readonly kind: "unreadable" | "syntax" | "unknown-key" | "missing" | "wrong-value" | "secret";
    readonly line: number | undefined;
    readonly path: string;
    readonly message: string;
    readonly remedy: string;
}
