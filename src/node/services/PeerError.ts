/** A peer did not answer: no link, timeout, or the link closed first. */
export interface PeerError {
    readonly kind: "no-link" | "timeout" | "closed";
    readonly message: string;
}
