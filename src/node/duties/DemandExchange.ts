import type { ServiceDemand } from "../../core/duties/ServiceDemand.js";
import { choosePlacementVm } from "../../core/relay/choosePlacementVm.js";
import type { UpstreamDirectory } from "../../core/relay/UpstreamDirectory.js";
import type { UpstreamLoadTracker } from "../../core/relay/UpstreamLoadTracker.js";
import { createLogger } from "../logs/createLogger.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";

const log = createLogger("scale");

interface DemandExchangeOptions {
    readonly vm: string;
    readonly loadTracker: UpstreamLoadTracker;
    readonly directory: UpstreamDirectory;
    readonly links: PeerLinks;
    readonly membership: MembershipService;
    /** Number of VMs, those included that this one has lost sight of lately; undefined while it is not known. */
    readonly fleetSize: () => number | undefined;
}

/** Longer than for a placement, which a call waits for; well under the second between two readings. */
const demandTimeoutMs = 300;

/** Reads the demand on a service from its placement VM, which knows the calls of all VMs, and answers such requests of others. */
export class DemandExchange {
    /** Services whose placement VM did not answer the last request; a failure is logged once. */
    private readonly unanswered = new Set<string>();

    constructor(private readonly options: DemandExchangeOptions) {}

    start(signal: AbortSignal): void {
        this.options.links.onMessage(
            "demandAsk",
            (...[, { service }]) => ({ type: "demandAnswer", ...this.measureLocally(service) }),
            signal,
        );
    }

    /** Reads the demand; without an answer, what this VM knows of it, which is incomplete. */
    async measure(service: string, signal: AbortSignal): Promise<ServiceDemand> {
        const { vm, links, membership } = this.options;
        const { isFleetSeen } = this;
        const placementVm = choosePlacementVm(service, membership.members);
        if (placementVm === undefined || placementVm === vm) {
            return this.measureLocally(service);
        }
        const answer = await links.request(placementVm, { type: "demandAsk", service }, demandTimeoutMs, signal);
        if (answer.isOk() && answer.value.type === "demandAnswer") {
            this.unanswered.delete(service);
            const { callsInFlight, pendingPrefillMs, isComplete } = answer.value;
            return { callsInFlight, pendingPrefillMs, isComplete: isComplete && isFleetSeen };
        }
        if (!this.unanswered.has(service)) {
            this.unanswered.add(service);
            log("placement VM did not answer a request for the demand; using the calls that this VM knows", {
                vm: placementVm,
                service,
                reason: answer.isErr() ? answer.error.message : "unexpected answer",
            });
        }
        return { ...this.measureLocally(service), isComplete: false };
    }

    /** Whether this VM sees most of the fleet. One that is cut off may take itself for the placement VM, or the fleet for a small one. */
    private get isFleetSeen(): boolean {
        const { membership: { members }, fleetSize } = this.options;
        return 2 * members.length > (fleetSize() ?? members.length);
    }

    private measureLocally(service: string): ServiceDemand {
        const { vm, loadTracker, directory, membership } = this.options;
        const ids = directory.upstreams.filter(upstream => upstream.service === service).map(({ id }) => id);
        return {
            callsInFlight: ids.reduce((sum, id) => sum + Math.max(0, loadTracker.callsInFlight(id)), 0),
            pendingPrefillMs: ids.reduce((sum, id) => sum + loadTracker.pendingPrefillMs(id), 0),
            isComplete: this.isFleetSeen && (choosePlacementVm(service, membership.members) ?? vm) === vm,
        };
    }
}
