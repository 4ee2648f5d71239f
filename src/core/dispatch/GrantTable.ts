import type { ActiveGrant } from "./ActiveGrant.js";

/**
 * Index of the grants that have not ended, by id and by request, with counts by service class. A hedge is counted for its class but not
 * indexed by request.
 */
export class GrantTable {
    private readonly byId = new Map<string, ActiveGrant>();
    private readonly byRequest = new Map<string, ActiveGrant>();
    private readonly countByClass = new Map<string, number>();
    private readonly preemptedCountByClass = new Map<string, number>();

    get size(): number {
        return this.byId.size;
    }

    get(grantId: string): ActiveGrant | undefined {
        return this.byId.get(grantId);
    }

    findByRequest(requestId: string): ActiveGrant | undefined {
        return this.byRequest.get(requestId);
    }

    all(): readonly ActiveGrant[] {
        return [...this.byId.values()];
    }

    inFlightOfClass(serviceClass: string): number {
        return this.countByClass.get(serviceClass) ?? 0;
    }

    /** Number of in-flight grants of a class that are not being preempted. */
    countUnpreempted(serviceClass: string): number {
        return this.inFlightOfClass(serviceClass) - (this.preemptedCountByClass.get(serviceClass) ?? 0);
    }

    /** Marks a grant as preempted. Its slot stays occupied until the grant ends. */
    markPreempted(grant: ActiveGrant): void {
        grant.isPreempted = true;
        const { serviceClass } = grant.ticket;
        this.preemptedCountByClass.set(serviceClass, (this.preemptedCountByClass.get(serviceClass) ?? 0) + 1);
    }

    add(grant: ActiveGrant, isHedge: boolean): void {
        const { requestId, serviceClass } = grant.ticket;
        this.byId.set(grant.grantId, grant);
        if (!isHedge) {
            this.byRequest.set(requestId, grant);
        }
        this.countByClass.set(serviceClass, this.inFlightOfClass(serviceClass) + 1);
    }

    /** Returns false if the grant has already been removed. */
    remove(grant: ActiveGrant): boolean {
        if (!this.byId.delete(grant.grantId)) {
            return false;
        }
        const { requestId, serviceClass } = grant.ticket;
        if (this.byRequest.get(requestId) === grant) {
            this.reindexRequest(requestId, grant);
        }
        this.countByClass.set(serviceClass, this.inFlightOfClass(serviceClass) - 1);
        if (grant.isPreempted) {
            this.preemptedCountByClass.set(serviceClass, (this.preemptedCountByClass.get(serviceClass) ?? 0) - 1);
        }
        return true;
    }

    /** Indexes the remaining grant of a hedged pair under the request, if there is one. */
    private reindexRequest(requestId: string, grant: ActiveGrant): void {
        const otherGrant = grant.hedgeGrantId === undefined ? undefined : this.byId.get(grant.hedgeGrantId);
        if (otherGrant === undefined) {
            this.byRequest.delete(requestId);
        }
        else {
            this.byRequest.set(requestId, otherGrant);
        }
    }
}
