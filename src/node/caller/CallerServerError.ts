/** Why the caller API is not listening. */
export interface CallerServerError {
    readonly kind: "not-listening" | "not-started";
    /** Says how to correct the error. */
    readonly message: string;
}
