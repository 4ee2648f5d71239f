/** Node.js arguments by which a process exits when its standard input, a pipe, closes; so it does not outlive the process that started it. */
export const exitWithParent: readonly string[] = [
    "--import",
    "data:text/javascript,process.stdin.resume().once('close', () => process.exit(1)).unref();",
];
