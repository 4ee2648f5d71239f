/** Exit codes of every command; docs/operators/cli.md lists them. */
export const ExitCode = {
    ok: 0,
    failed: 1,
    /** Wrong arguments, or a file with faults. */
    usage: 2,
    /** The configuration changed since it was read. */
    conflict: 3,
    /** Published, but not yet in force in every availability zone. */
    pending: 4,
    /** The VM was not reached, or refused the token. Nothing was done. */
    unreachable: 5,
    /** It is not known whether the change was made. */
    unknown: 6,
    /** An alert is firing, with `report --check`. */
    alert: 7,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
