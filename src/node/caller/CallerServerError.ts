/** Why the caller API does not listen. */
export interface CallerServerError {
    readonly kind: "not-listening" | "not-started";
    /** Names the remedy. */
    readonly message: string;
}
