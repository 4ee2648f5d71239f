/** An admitted request, counted against its customer's limits. The holder must call `end` exactly once. */
export interface Admission {
    /** Ends the request and replaces the token estimate with `actualTokens`. */
    end(actualTokens: number): void;
}
