import type { PeerMessage } from "../../schema/peer/PeerMessage.js";

/** What travels in one frame of an open connection. A request and its reply carry the same id. */
export type PeerFrame =
    | { readonly kind: "message"; readonly message: PeerMessage; }
    | { readonly kind: "request"; readonly id: number; readonly message: PeerMessage; }
    | { readonly kind: "reply"; readonly id: number; readonly message: PeerMessage; }
    /** `quietMs`: how long the sender has heard nothing, which tells the peer that its bytes do not arrive. */
    | { readonly kind: "ping"; readonly receiveSilenceMs: number; }
    | { readonly kind: "pong"; };
