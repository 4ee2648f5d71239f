import type { MembershipService } from "../services/MembershipService.js";

/** Membership of the fleet, with the number of VMs that may be alive: the members, and VMs that cannot be reached but may still run. */
export interface FleetMembership extends MembershipService {
    readonly possiblyAliveCount: number;
}
