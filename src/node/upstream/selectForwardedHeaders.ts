import { hopByHopHeaders } from "./hopByHopHeaders.js";

/** The headers of a message that are passed on to the next hop, and those that `isKept` allows. */
export function selectForwardedHeaders(
    headers: Readonly<Record<string, string | string[] | undefined>>,
    isKept: (name: string) => boolean = () => true,
): Record<string, string | string[]> {
    const named = new Set(String(headers["connection"] ?? "").toLowerCase().split(",").map(name => name.trim()));
    const kept: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !hopByHopHeaders.has(name) && !named.has(name) && isKept(name)) {
            kept[name] = value;
        }
    }
    return kept;
}
