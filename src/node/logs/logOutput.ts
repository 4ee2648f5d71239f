/** Log format and output of this process; set from the settings at start. */
export const logOutput: { format: "plain" | "json"; write: (line: string) => void; } = {
    format: "plain",
    write: line => process.stderr.write(line + "\n"),
};
