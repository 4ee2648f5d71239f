import type { MembershipService } from "../services/MembershipService.js";

/** The members, and how many VMs may be alive in all. */
export interface FleetMembership extends MembershipService {
    readonly possiblyAliveCount: number;
}
