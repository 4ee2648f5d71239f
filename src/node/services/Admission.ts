/** An admitted request of a customer. Its holder must call `end` exactly once. */
export interface Admission {
    end(actualTokens: number): void;
}
