import debug from "debug";
import { logOutput } from "./logOutput.js";

/** Sets the format of the process's logs and the parts that write. */
export function configureLogs(logs: { readonly format: "plain" | "json"; readonly parts: string; }): void {
    logOutput.format = logs.format;
    debug.enable(logs.parts);
}
