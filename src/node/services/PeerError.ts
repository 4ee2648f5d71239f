/** Why a peer sent no reply: there was no link, the request timed out, or the link closed first. */
export interface PeerError {
    readonly kind: "no-link" | "timeout" | "closed";
    readonly message: string;
}
