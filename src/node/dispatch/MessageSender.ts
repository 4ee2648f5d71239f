import type { PeerMessage } from "../../schema/peer/PeerMessage.js";

/** Sends a message to a VM, which may be this one; returns false when no link is up. */
export type MessageSender = (vm: string, message: PeerMessage) => boolean;
