import type { ActiveGrant } from "./ActiveGrant.js";

/** Grants that have not ended, by id, by request and counted by class. A hedge counts for its class but not for its request. */
export class GrantTable {
    private readonly byId = new Map<string, ActiveGrant>();
    private readonly byRequest = new Map<string, ActiveGrant>();
    private readonly countByClass = new Map<string, number>();
    private readonly askedBackByClass = new Map<string, number>();

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

    /** Those that the dispatcher has not asked back. */
    unpreemptedOfClass(serviceClass: string): number {
        return this.inFlightOfClass(serviceClass) - (this.askedBackByClass.get(serviceClass) ?? 0);
    }

    /** The dispatcher asks for the slot back; it stays taken until the grant ends. */
    markPreempted(grant: ActiveGrant): void {
        grant.isPreempted = true;
        const { serviceClass } = grant.ticket;
        this.askedBackByClass.set(serviceClass, (this.askedBackByClass.get(serviceClass) ?? 0) + 1);
    }

    add(grant: ActiveGrant, isHedge: boolean): void {
        const { requestId, serviceClass } = grant.ticket;
        this.byId.set(grant.grantId, grant);
        if (!isHedge) {
            this.byRequest.set(requestId, grant);
        }
        this.countByClass.set(serviceClass, this.inFlightOfClass(serviceClass) + 1);
    }

    /** False when the grant had ended before. */
    remove(grant: ActiveGrant): boolean {
        if (!this.byId.delete(grant.grantId)) {
            return false;
        }
        const { requestId, serviceClass } = grant.ticket;
        if (this.byRequest.get(requestId) === grant) {
            this.handOverRequest(requestId, grant);
        }
        this.countByClass.set(serviceClass, this.inFlightOfClass(serviceClass) - 1);
        if (grant.isPreempted) {
            this.askedBackByClass.set(serviceClass, (this.askedBackByClass.get(serviceClass) ?? 0) - 1);
        }
        return true;
    }

    /** The other of a hedged pair goes on for the request. */
    private handOverRequest(requestId: string, grant: ActiveGrant): void {
        const other = grant.hedgeGrantId === undefined ? undefined : this.byId.get(grant.hedgeGrantId);
        if (other === undefined) {
            this.byRequest.delete(requestId);
        }
        else {
            this.byRequest.set(requestId, other);
        }
    }
}
