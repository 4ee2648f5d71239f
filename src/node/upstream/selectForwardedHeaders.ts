import { hopByHopHeaders } from "./hopByHopHeaders.js";

/**
 * Selects the headers that are forwarded to the next hop: all but the hop-by-hop headers, those that `connection` lists
 * and those that `isForwarded` rejects.
 */
export function selectForwardedHeaders(
    headers: Readonly<Record<string, string | string[] | undefined>>,
    isForwarded: (name: string) => boolean = () => true,
): Record<string, string | string[]> {
    const connectionOptions = new Set(String(headers["connection"] ?? "").toLowerCase().split(",").map(name => name.trim()));
    const forwarded: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !hopByHopHeaders.has(name) && !connectionOptions.has(name) && isForwarded(name)) {
            forwarded[name] = value;
        }
    }
    return forwarded;
}
