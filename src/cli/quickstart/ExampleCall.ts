/** One call of the example job and what its caller got. */
export interface ExampleCall {
    readonly what: string;
    readonly serviceClass: string;
    readonly vm: string;
    readonly status: number;
    readonly outcome: string;
    readonly path: string;
    readonly upstream: string;
    /** The start of the answer. */
    readonly answer: string;
    readonly requestId: string;
}
