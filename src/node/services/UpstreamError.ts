/** `refused` and `not-sent`: no work was done; `broken`: some may have been; `draining`: the upstream is leaving and did nothing. */
export interface UpstreamError {
    readonly kind: "not-sent" | "refused" | "draining" | "broken" | "silent" | "cancelled";
    readonly status: number | undefined;
    readonly message: string;
}
