import type { PeerMessage } from "../../schema/peer/PeerMessage.js";

/** One frame on an open connection. A request and its reply carry the same id. */
export type PeerFrame =
    | { readonly kind: "message"; readonly message: PeerMessage; }
    | { readonly kind: "request"; readonly id: number; readonly message: PeerMessage; }
    | { readonly kind: "reply"; readonly id: number; readonly message: PeerMessage; }
    /** `receiveSilenceMs`: time since the sender last received anything, which tells the peer whether its bytes arrive. */
    | { readonly kind: "ping"; readonly receiveSilenceMs: number; }
    | { readonly kind: "pong"; };
