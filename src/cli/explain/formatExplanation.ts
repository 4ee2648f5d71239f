import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";
import type { Explanation } from "../../schema/explain/Explanation.js";
import { alignColumns } from "../report/alignColumns.js";

const noDecisionsHint =
    "no decisions found: they may have been evicted from the ring buffers (explain.ringBytes), or the VM has left the fleet";
const noMissesHint =
    "no missed targets found for this class in this time range; older decisions may have been evicted from the ring buffers";

/** Formats an explanation as lines for a terminal: a timeline, miss reasons or the configuration that each VM has applied. */
export function formatExplanation(explanation: Explanation, isClassQuery: boolean): string[] {
    const { events, reasons, held, silentVms } = explanation;
    const lines = [...formatTimeline(events), ...formatReasons(explanation), ...formatAppliedConfigs(explanation)];
    const isEmpty = events.length + reasons.length + held.length === 0;
    const hint = isEmpty ? [isClassQuery ? noMissesHint : noDecisionsHint] : [];
    const silentWarning = silentVms.length > 0 ? [`no answer from ${silentVms.join(", ")}: their decisions are missing`] : [];
    return [...lines, ...hint, ...silentWarning];
}

function formatTimeline(events: readonly DecisionEvent[]): string[] {
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
    const classSuffix = first.serviceClass === undefined ? "" : `, class ${first.serviceClass}`;
    const head = `${isOneSubject ? `${first.subject}${classSuffix}, from` : "from"} ${new Date(first.atMs).toISOString()}`;
    return [
        head,
        ...rows.map(row =>
            row.map((text, column) => column === 0 ? text.padStart(widths[0] ?? 0) : text.padEnd(widths[column] ?? 0)).join("  ").trimEnd()
        ),
    ];
}

function formatReasons({ reasons }: Explanation): string[] {
    return reasons.length === 0
        ? []
        : alignColumns([
            ["reason", "requests", "examples"],
            ...reasons.map(({ reason, count, exampleRequestIds }) => [reason, String(count), exampleRequestIds.join(" ")]),
        ]);
}

function formatAppliedConfigs({ held }: Explanation): string[] {
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
