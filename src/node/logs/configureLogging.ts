import debug from "debug";
import { format } from "node:util";
import { logOutput } from "./logOutput.js";

const formatPlain = debug.formatArgs;

/**
 * Sets the log format of the process and enables the given parts, a `debug` namespace pattern. Loggers that are created with the
 * `debug` library directly use the same format and output.
 */
export function configureLogging(logs: { readonly format: "plain" | "json"; readonly parts: string; }): void {
    logOutput.format = logs.format;
    debug.log = (...logArguments: unknown[]) => {
        logOutput.write(format(...logArguments));
    };
    debug.formatArgs = logs.format === "plain" ? formatPlain : function(this: debug.Debugger, logArguments: unknown[]): void {
        const line = JSON.stringify({ time: new Date().toISOString(), part: this.namespace, message: format(...logArguments) });
        logArguments.splice(0, logArguments.length, "%s", line);
    };
    debug.enable(logs.parts);
}
