import type { Member } from "../../core/membership/Member.js";

/** The VMs that this VM considers alive, including itself. */
export interface MembershipService {
    readonly members: readonly Member[];
    onChange(listener: (members: readonly Member[]) => void, signal: AbortSignal): void;
}
