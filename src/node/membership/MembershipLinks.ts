import type { PeerLinks } from "../services/PeerLinks.js";

/** Peer links as used by membership, which also sets the addresses of VMs and listens for links that open. */
export interface MembershipLinks extends PeerLinks {
    setAddress(vm: string, url: string | undefined): void;
    /** Dials an address whose VM is unknown. */
    dialAddress(url: string): void;
    onLinkOpened(listener: (vm: string) => void, signal: AbortSignal): void;
}
