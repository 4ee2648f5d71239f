import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";
import type { Explanation } from "../../schema/explain/Explanation.js";
import { alignColumns } from "../report/alignColumns.js";

const nothingKept = "nothing is kept about it: it may have left the rings (explain.ringBytes), or its VM is gone";
const nothingMissed = "no request of this class missed its targets in this span, as far as the rings reach";

/** An explanation as lines for a terminal: a timeline, reasons, or the configuration held. */
export function formatExplanation(explanation: Explanation, isClass: boolean): string[] {
    const { events, reasons, held, silentVms } = explanation;
    const lines = [...timeline(events), ...reasonLines(explanation), ...heldLines(explanation)];
    const isEmpty = events.length + reasons.length + held.length === 0;
    const hint = isEmpty ? [isClass ? nothingMissed : nothingKept] : [];
    const silent = silentVms.length > 0 ? [`no answer from ${silentVms.join(", ")}: what they decided is missing here`] : [];
    return [...lines, ...hint, ...silent];
}

function timeline(events: readonly DecisionEvent[]): string[] {
    const [first] = events;
    if (first === undefined) {
        return [];
    }
    const isOneSubject = events.every(event => event.subject === first.subject);
    const rows = events.map(event => [
        `+${(event.atMs - first.atMs).toFixed(0)} ms`,
        event.vm,
        event.kind,
        isOneSubject ? "" : event.subject,
        Object.entries(event.facts).map(([name, value]) => `${name}=${typeof value === "number" ? Number(value.toFixed(1)) : value}`).join(
            " ",
        ),
    ]);
    const widths = [0, 1, 2, 3].map(column => Math.max(...rows.map(row => row[column]?.length ?? 0)));
    const ofClass = first.serviceClass === undefined ? "" : `, class ${first.serviceClass}`;
    const head = `${isOneSubject ? `${first.subject}${ofClass}, from` : "from"} ${new Date(first.atMs).toISOString()}`;
    return [
        head,
        ...rows.map(row =>
            row.map((text, column) => column === 0 ? text.padStart(widths[0] ?? 0) : text.padEnd(widths[column] ?? 0)).join("  ").trimEnd()
        ),
    ];
}

function reasonLines({ reasons }: Explanation): string[] {
    return reasons.length === 0
        ? []
        : alignColumns([
            ["reason", "requests", "examples"],
            ...reasons.map(({ reason, count, exampleRequestIds }) => [reason, String(count), exampleRequestIds.join(" ")]),
        ]);
}

function heldLines({ held }: Explanation): string[] {
    const newest = Math.max(...held.map(({ configOffset }) => configOffset));
    const rows = held.map(({ vm, availabilityZone, configOffset, sinceAtMs }) => [
        vm,
        availabilityZone,
        String(configOffset),
        sinceAtMs === undefined ? "unknown" : new Date(sinceAtMs).toISOString(),
        configOffset < newest ? `${newest - configOffset} behind` : "",
    ]);
    return held.length === 0 ? [] : alignColumns([["VM", "zone", "revision", "since", ""], ...rows]);
}
