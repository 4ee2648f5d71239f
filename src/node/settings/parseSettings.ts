import { err, ok, type Result } from "neverthrow";
import { NonEmptyList } from "purify-ts/NonEmptyList";
import { type Document, isMap, isNode, isScalar, LineCounter, parseDocument } from "yaml";
import type * as z from "zod";
import { Settings } from "../../schema/settings/Settings.js";
import type { SettingsError } from "./SettingsError.js";

type Issue = z.core.$ZodIssue;

/** Parses and validates the text of a settings file and returns all errors together. Does not read secrets or other files. */
export function parseSettings(text: string): Result<Settings, NonEmptyList<SettingsError>> {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines, prettyErrors: false });
    const syntaxErrors = document.errors.map(error => createSyntaxError(lines.linePos(error.pos[0]).line, error.message));
    return errIfAny(syntaxErrors)
        .andThen(() => toPlainValue(document))
        .andThen(plain => {
            const parsed = Settings.safeParse(plain);
            return parsed.success
                ? ok(parsed.data)
                : errIfAny(parsed.error.issues.flatMap(issue => toErrors(issue, document, lines))).map(() => parsed.data as never);
        });
}

function errIfAny(errors: readonly SettingsError[]): Result<undefined, NonEmptyList<SettingsError>> {
    return NonEmptyList.fromArray([...errors]).caseOf<Result<undefined, NonEmptyList<SettingsError>>>({
        Just: err,
        Nothing: () => ok(undefined),
    });
}

/** Resolving aliases can fail after a successful parse, for example when nested aliases expand exponentially. */
function toPlainValue(document: Document): Result<unknown, NonEmptyList<SettingsError>> {
    try {
        return ok(document.toJS());
    }
    catch (error) {
        return err(NonEmptyList([createSyntaxError(1, String((error as Error).message))]));
    }
}

function createSyntaxError(line: number, message: string): SettingsError {
    return { kind: "syntax", line, path: "", message: `not valid YAML: ${message}`, remedy: "correct the YAML syntax at this line" };
}

function toErrors(issue: Issue, document: Document, lines: LineCounter): SettingsError[] {
    const path = issue.path.map(part => typeof part === "symbol" ? String(part) : part);
    const findLineAt = (keyPath: readonly PropertyKey[]) => findLine(document, lines, keyPath);
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => ({
            kind: "unknown-key",
            line: findLineAt([...path, key]),
            path: formatPath([...path, key]),
            message: "unknown key",
            remedy: `remove it or correct its spelling; the settings page lists the known keys`,
        }));
    }
    const location = { line: findLineAt(path), path: formatPath(path) };
    if (issue.code === "invalid_type" && !document.hasIn(path)) {
        return [{
            kind: "missing",
            ...location,
            message: "required key is missing",
            remedy: `add ${location.path}, ${describeExpected(issue)}`,
        }];
    }
    return [{ kind: "wrong-value", ...location, message: issue.message, remedy: `give ${describeExpected(issue)}` }];
}

function describeExpected(issue: Issue): string {
    switch (issue.code) {
        case "invalid_type":
            return issue.expected === "object" ? "a mapping of keys" : `a value of type ${issue.expected}`;
        case "too_small":
            return `a value of at least ${String(issue.minimum)}`;
        case "too_big":
            return `a value of at most ${String(issue.maximum)}`;
        case "invalid_value":
            return `one of ${issue.values.map(String).join(", ")}`;
        case "invalid_format":
            return issue.format === "url" ? "a URL with a scheme listed in the settings page" : `a value in the format ${issue.format}`;
        default:
            return "a value allowed by the settings page";
    }
}

function formatPath(path: readonly PropertyKey[]): string {
    return path.map(String).join(".");
}

/** Finds the line of the node at `path`, or of its nearest ancestor that exists in the file. */
function findLine(document: Document, lines: LineCounter, path: readonly PropertyKey[]): number | undefined {
    for (let length = path.length; length > 0; length--) {
        const line = findKeyLine(document, lines, path.slice(0, length)) ?? findNodeLine(document, lines, path.slice(0, length));
        if (line !== undefined) {
            return line;
        }
    }
    return 1;
}

function findKeyLine(document: Document, lines: LineCounter, path: readonly PropertyKey[]): number | undefined {
    const parent = path.length === 1 ? document.contents : document.getIn(path.slice(0, -1), true);
    if (!isMap(parent)) {
        return undefined;
    }
    const keyName = String(path[path.length - 1]);
    const key = parent.items.map(pair => pair.key).find(candidate => isScalar(candidate) && String(candidate.value) === keyName);
    return isScalar(key) && key.range ? lines.linePos(key.range[0]).line : undefined;
}

function findNodeLine(document: Document, lines: LineCounter, path: readonly PropertyKey[]): number | undefined {
    const node = document.getIn(path, true);
    return isNode(node) && node.range ? lines.linePos(node.range[0]).line : undefined;
}
