/** One call of the quickstart and its result. */
export interface ExampleCall {
    readonly what: string;
    readonly serviceClass: string;
    readonly vm: string;
    readonly status: number;
    readonly outcome: string;
    readonly path: string;
    readonly upstream: string;
    /** The first characters of a successful answer, or the full body of any other. */
    readonly answer: string;
    readonly requestId: string;
}
