import { err, ok, type Result } from "neverthrow";
import { NonEmptyList } from "purify-ts/NonEmptyList";
import { type Document, isMap, isNode, isScalar, LineCounter, parseDocument } from "yaml";
import type * as z from "zod";
import { Settings } from "../../schema/settings/Settings.js";
import type { SettingsError } from "./SettingsError.js";

type Issue = z.core.$ZodIssue;

/** Parses the text of a settings file and tells every fault at once. Reads no secret and no file. */
export function parseSettings(text: string): Result<Settings, NonEmptyList<SettingsError>> {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines, prettyErrors: false });
    const syntaxErrors = document.errors.map(error => syntaxError(lines.linePos(error.pos[0]).line, error.message));
    return failAny(syntaxErrors)
        .andThen(() => toPlain(document))
        .andThen(plain => {
            const parsed = Settings.safeParse(plain);
            return parsed.success
                ? ok(parsed.data)
                : failAny(parsed.error.issues.flatMap(issue => toErrors(issue, document, lines))).map(() => parsed.data as never);
        });
}

function failAny(errors: readonly SettingsError[]): Result<undefined, NonEmptyList<SettingsError>> {
    return NonEmptyList.fromArray([...errors]).caseOf<Result<undefined, NonEmptyList<SettingsError>>>({
        Just: err,
        Nothing: () => ok(undefined),
    });
}

/** Resolving aliases can fail after a clean parse, for example on an alias that expands without bound. */
function toPlain(document: Document): Result<unknown, NonEmptyList<SettingsError>> {
    try {
        return ok(document.toJS());
    }
    catch (error) {
        return err(NonEmptyList([syntaxError(1, String((error as Error).message))]));
    }
}

function syntaxError(line: number, message: string): SettingsError {
    return { kind: "syntax", line, path: "", message: `not valid YAML: ${message}`, remedy: "mend the YAML syntax at this line" };
}

function toErrors(issue: Issue, document: Document, lines: LineCounter): SettingsError[] {
    const path = issue.path.map(part => typeof part === "symbol" ? String(part) : part);
    const lineOf = (steps: readonly PropertyKey[]) => findLine(document, lines, steps);
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => ({
            kind: "unknown-key",
            line: lineOf([...path, key]),
            path: dotted([...path, key]),
            message: "unknown key",
            remedy: `remove it or correct its spelling; known keys stand in the settings page`,
        }));
    }
    const at = { line: lineOf(path), path: dotted(path) };
    if (issue.code === "invalid_type" && !document.hasIn(path)) {
        return [{ kind: "missing", ...at, message: "required key is missing", remedy: `add ${at.path}, ${expected(issue)}` }];
    }
    return [{ kind: "wrong-value", ...at, message: issue.message, remedy: `give ${expected(issue)}` }];
}

function expected(issue: Issue): string {
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
            return issue.format === "url" ? "a URL with the scheme that the settings page gives" : `a value in the format ${issue.format}`;
        default:
            return "a value that the settings page allows";
    }
}

function dotted(path: readonly PropertyKey[]): string {
    return path.map(String).join(".");
}

/** Line of the node at `path`, or of its nearest ancestor that the file holds. */
function findLine(document: Document, lines: LineCounter, path: readonly PropertyKey[]): number | undefined {
    for (let length = path.length; length > 0; length--) {
        const line = lineOfKey(document, lines, path.slice(0, length)) ?? lineOfNode(document, lines, path.slice(0, length));
        if (line !== undefined) {
            return line;
        }
    }
    return 1;
}

function lineOfKey(document: Document, lines: LineCounter, path: readonly PropertyKey[]): number | undefined {
    const parent = path.length === 1 ? document.contents : document.getIn(path.slice(0, -1), true);
    if (!isMap(parent)) {
        return undefined;
    }
    const wanted = String(path[path.length - 1]);
    const key = parent.items.map(pair => pair.key).find(candidate => isScalar(candidate) && String(candidate.value) === wanted);
    return isScalar(key) && key.range ? lines.linePos(key.range[0]).line : undefined;
}

function lineOfNode(document: Document, lines: LineCounter, path: readonly PropertyKey[]): number | undefined {
    const node = document.getIn(path, true);
    return isNode(node) && node.range ? lines.linePos(node.range[0]).line : undefined;
}
