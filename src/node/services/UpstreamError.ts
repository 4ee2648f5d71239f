/**
 * Why an upstream call failed. `not-sent`, `refused` and `draining` (the upstream is leaving): it did no work.
 * `broken`, `silent` (nothing received within the idle timeout) and `cancelled`: it may have done some work.
 */
export interface UpstreamError {
    readonly kind: "not-sent" | "refused" | "draining" | "broken" | "silent" | "cancelled";
    readonly status: number | undefined;
    readonly message: string;
}
