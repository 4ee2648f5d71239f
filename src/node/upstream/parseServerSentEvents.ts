const dataField = "data:";
const doneData = "[DONE]";

/** Parses the JSON objects of complete server-sent events. The closing `[DONE]` and events that are not JSON objects are skipped. */
export function parseServerSentEvents(events: Buffer): readonly Record<string, unknown>[] {
    const values: Record<string, unknown>[] = [];
    for (const line of events.toString("utf8").split("\n")) {
        const data = line.startsWith(dataField) ? line.slice(dataField.length).trim() : "";
        if (data === "" || data === doneData) {
            continue;
        }
        const value = parseObject(data);
        if (value !== undefined) {
            values.push(value);
        }
    }
    return values;
}

function parseObject(text: string): Record<string, unknown> | undefined {
    try {
        const value: unknown = JSON.parse(text);
        return typeof value === "object" && value ? value as Record<string, unknown> : undefined;
    }
    catch {
        return undefined;
    }
}
