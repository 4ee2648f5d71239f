import debug from "debug";
import { format } from "node:util";
import type { Logger } from "./Logger.js";
import { logOutput } from "./logOutput.js";

const prefix = "orioleshelf";
const hidden = "(hidden)";
/** Names of fields whose values are secrets or callers' text. */
const secretField =
    /^(authorization|(.*_)?(key|token|secret|prompt|password|body|text|content|messages?))$|(Key|Token|Secret|Prompt|Body|Text)$/i;

/** Creates the log of one part of the system. Lines carry its prefix; secret-bearing fields are hidden. */
export function createLogger(part: string): Logger {
    const name = `${prefix}:${part}`;
    const instance = debug(name);
    instance.log = (...parts: unknown[]) => {
        logOutput.write(format(...parts));
    };
    return (message, fields = {}) => {
        if (!instance.enabled) {
            return;
        }
        const shown = hideSecrets(fields);
        if (logOutput.format === "json") {
            logOutput.write(JSON.stringify({ time: new Date().toISOString(), part: name, message, ...shown }));
            return;
        }
        instance("%s", plainLine(message, shown));
    };
}

function plainLine(message: string, fields: Readonly<Record<string, unknown>>): string {
    const pairs = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
    return [message, ...pairs].join(" ");
}

function hideSecrets(fields: Readonly<Record<string, unknown>>): Record<string, unknown> {
    return Object.fromEntries(
        Object.entries(fields)
            .filter(([, value]) => value !== undefined)
            .map(([name, value]) => [name, secretField.test(name) ? hidden : value]),
    );
}
