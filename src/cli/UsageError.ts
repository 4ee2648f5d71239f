/** Invalid arguments or input file; the message says how to correct them. Caught only in `runCli`, which exits with `ExitCode.usage`. */
export class UsageError extends Error {}
