/** What a command is given by the process around it. */
export interface CommandContext {
    readonly environment: Readonly<Record<string, string | undefined>>;
    /** Aborted on SIGINT and SIGTERM. */
    readonly signal: AbortSignal;
    /** Standard error is a terminal, so progress may be shown. */
    readonly isTerminal: boolean;
    /** Writes one line to standard output. */
    print(line: string): void;
    /** Writes one line to standard error. */
    printError(line: string): void;
}
