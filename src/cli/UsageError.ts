/** Wrong arguments; the message names the remedy. Thrown while arguments are read, caught once in `runCli`. */
export class UsageError extends Error {}
