/** One fault of a settings file. `line` counts from 1; `path` is dotted; `remedy` says what to do. */
export interface SettingsError {
    readonly kind: "unreadable" | "syntax" | "unknown-key" | "missing" | "wrong-value" | "secret";
    readonly line: number | undefined;
    readonly path: string;
    readonly message: string;
    readonly remedy: string;
}
