import type { Placement } from "../../core/relay/Placement.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import type { CallContext } from "./CallContext.js";

/** Chooses the upstreams of one call; none of them twice. */
export class CallPlacer {
    private readonly triedUpstreamIds = new Set<string>();

    constructor(private readonly context: CallContext) {}

    recordAttempt(upstreamId: string): void {
        this.triedUpstreamIds.add(upstreamId);
    }

    hasAlternative(): boolean {
        return this.findUntried().length > 0;
    }

    /** Resolves with undefined when no upstream is left. */
    async choose(): Promise<Placement | undefined> {
        const { service, request: { call, route }, dependencies: { directory, health, placeCall, scheduler } } = this.context;
        const nowMs = scheduler.nowMs();
        const available = directory.available(service);
        const untried = this.findUntried();
        const healthy = untried.filter(upstream => !health.isAvoided(upstream.id, nowMs));
        const candidates = healthy.length > 0 ? healthy : untried;
        return await placeCall({ service, call, route, available, candidates, nowMs });
    }

    private findUntried(): readonly RelayUpstream[] {
        const { service, dependencies } = this.context;
        return dependencies.directory.available(service).filter(upstream => !this.triedUpstreamIds.has(upstream.id));
    }
}
