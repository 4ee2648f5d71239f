import { runCli } from "./runCli.js";

const controller = new AbortController();
for (const name of ["SIGINT", "SIGTERM"] as const) {
    process.on(name, () => {
        controller.abort();
    });
}
// The command ends without an error when the reader of its output closes the pipe (EPIPE), as in `orioleshelf get | head`.
process.stdout.on("error", error => {
    process.exitCode = (error as NodeJS.ErrnoException).code === "EPIPE" ? 0 : 1;
    controller.abort();
});

void runCli(process.argv.slice(2), {
    environment: process.env,
    signal: controller.signal,
    isTerminal: process.stderr.isTTY,
    print: line => process.stdout.write(line + "\n"),
    printError: line => process.stderr.write(line + "\n"),
}).then(code => {
    process.exitCode ||= code;
});
