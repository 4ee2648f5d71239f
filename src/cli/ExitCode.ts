/** Exit codes of every command; docs/operators/cli.md lists them. */
export const ExitCode = {
    ok: 0,
    failed: 1,
    /** Invalid arguments or an invalid file. */
    usage: 2,
    /** The configuration has changed since it was read. */
    conflict: 3,
    /** Published, but not yet in force in every availability zone. */
    pending: 4,
    /** The VM was not reached, rejected the token, could not publish the change or stopped sending messages; nothing was changed. */
    unreachable: 5,
    /** The outcome of the call is not known; a change may or may not have been made. */
    unknown: 6,
    /** `report --check` found an alert that is firing. */
    alert: 7,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
