import type { PeerMessage } from "../../schema/peer/PeerMessage.js";

/** Sends a message to a VM, which may be this one; returns false if it cannot be sent, as without a link or with a full send buffer. */
export type MessageSender = (vm: string, message: PeerMessage) => boolean;
