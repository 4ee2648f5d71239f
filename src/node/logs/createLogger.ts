import debug from "debug";
import { format } from "node:util";
import type { Logger } from "./Logger.js";
import { logOutput } from "./logOutput.js";

const namespacePrefix = "orioleshelf";
const redactedValue = "(hidden)";
/** Matches names of fields that may hold secrets, prompts or generated text. */
const secretFieldPattern =
    /^(authorization|(.*_)?(key|token|secret|prompt|password|body|text|content|messages?))$|(Key|Token|Secret|Prompt|Body|Text)$/i;

/** Creates the logger of one part of the system. Lines contain the name of the part; values of secret fields are redacted. */
export function createLogger(part: string): Logger {
    const namespace = `${namespacePrefix}:${part}`;
    const debugLogger = debug(namespace);
    debugLogger.log = (...logArguments: unknown[]) => {
        logOutput.write(format(...logArguments));
    };
    return (message, fields = {}) => {
        if (!debugLogger.enabled) {
            return;
        }
        const loggedFields = toLoggedFields(fields);
        if (logOutput.format === "json") {
            logOutput.write(JSON.stringify({ time: new Date().toISOString(), part: namespace, message, ...loggedFields }));
            return;
        }
        debugLogger("%s", formatPlainLine(message, loggedFields));
    };
}

function formatPlainLine(message: string, fields: Readonly<Record<string, unknown>>): string {
    const pairs = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
    return [message, ...pairs].join(" ");
}

/** Redacts secrets and converts what JSON cannot contain. */
function toLoggedFields(fields: Readonly<Record<string, unknown>>): Record<string, unknown> {
    return Object.fromEntries(
        Object.entries(fields)
            .filter(([, value]) => value !== undefined)
            .map(([name, value]) => [name, secretFieldPattern.test(name) ? redactedValue : toJsonValue(value)]),
    );
}

/** Bigints that a number cannot hold exactly become strings. */
function toJsonValue(value: unknown): unknown {
    if (typeof value !== "bigint") {
        return value;
    }
    return Number.isSafeInteger(Number(value)) ? Number(value) : String(value);
}
