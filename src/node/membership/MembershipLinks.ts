import type { PeerLinks } from "../services/PeerLinks.js";

/** What membership needs of peer links beyond sending: it tells them where VMs are, and learns which links open. */
export interface MembershipLinks extends PeerLinks {
    setAddress(vm: string, url: string | undefined): void;
    /** Dials an address whose VM is not known yet. */
    dialAddress(url: string): void;
    onLinkOpened(listener: (vm: string) => void, signal: AbortSignal): void;
}
