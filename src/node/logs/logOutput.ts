/** How this process writes its logs; set once from the settings. */
export const logOutput: { format: "plain" | "json"; write: (line: string) => void; } = {
    format: "plain",
    write: line => process.stderr.write(line + "\n"),
};
