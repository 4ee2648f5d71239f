/** Why the caller API is not listening. */
export interface CallerServerError {
    readonly kind: "not-listening" | "not-started";
    /** Includes the remedy. */
    readonly message: string;
}
