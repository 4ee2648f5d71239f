/** Environment, output and shutdown signal that the process provides to a command. */
export interface CommandContext {
    readonly environment: Readonly<Record<string, string | undefined>>;
    /** Aborted on SIGINT and SIGTERM. */
    readonly signal: AbortSignal;
    /** Whether standard error is a terminal; progress is shown only there. */
    readonly isTerminal: boolean;
    /** Writes one line to standard output. */
    print(line: string): void;
    /** Writes one line to standard error. */
    printError(line: string): void;
}
