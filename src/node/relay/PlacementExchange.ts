import { choosePlacementVm } from "../../core/relay/choosePlacementVm.js";
import type { Placement } from "../../core/relay/Placement.js";
import type { PlacementRefusal } from "../../core/relay/PlacementRefusal.js";
import type { PlacementRequest } from "../../core/relay/PlacementRequest.js";
import { SuspectUpstreams } from "../../core/relay/SuspectUpstreams.js";
import type { UpstreamDirectory } from "../../core/relay/UpstreamDirectory.js";
import type { UpstreamLoadTracker } from "../../core/relay/UpstreamLoadTracker.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { createLogger } from "../logs/createLogger.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";

const log = createLogger("place");

type PlacementDecision = Placement | PlacementRefusal | undefined;
type PlacementAskMessage = Extract<PeerMessage, { type: "placementAsk"; }>;

interface PlacementExchangeOptions {
    readonly vm: string;
    readonly loadTracker: UpstreamLoadTracker;
    readonly directory: UpstreamDirectory;
    readonly links: PeerLinks;
    readonly membership: MembershipService;
    readonly scheduler: Scheduler;
    /** Places a call with the loads that this VM knows. */
    readonly placeLocally: (request: PlacementRequest) => PlacementDecision;
    /** Whether calls of a service are kept from upstreams that other VMs avoid; they are not when omitted. */
    readonly sharesAvoidedUpstreams?: (service: string) => boolean;
}

/** Longest wait for the placement VM: a tenth of the shortest target; availability zones are within a millisecond of each other. */
const placementTimeoutMs = 30;
/** A placement VM that did not answer gets no requests for this long: until it leaves the membership view, it delays only a few calls. */
const backoffMs = 400;

/** Requests placements from the placement VM of a service, which knows the calls in flight of all VMs, and answers such requests of others. */
export class PlacementExchange {
    /** End of the backoff of each placement VM that did not answer. */
    private readonly backoffUntilMs = new Map<string, number>();
    private readonly suspects = new SuspectUpstreams();
    private readonly stopController = new AbortController();

    constructor(private readonly options: PlacementExchangeOptions) {}

    start(signal: AbortSignal): void {
        this.options.links.onMessage("placementAsk", (from, message) => this.placeForPeer(from, message), signal);
        signal.addEventListener("abort", () => {
            this.stopController.abort();
        }, { once: true });
    }

    /** Places a call locally or has the placement VM place it; locally too when the placement VM does not answer in time. */
    place(request: PlacementRequest): PlacementDecision | Promise<PlacementDecision> {
        const { vm, membership, scheduler, placeLocally } = this.options;
        const placementVm = choosePlacementVm(request.service, membership.members);
        if (placementVm === undefined || placementVm === vm) {
            return placeLocally(request);
        }
        if ((this.backoffUntilMs.get(placementVm) ?? 0) > scheduler.nowMs()) {
            return placeLocally(withoutRefusal(request));
        }
        return this.requestPlacement(placementVm, request);
    }

    private async requestPlacement(placementVm: string, request: PlacementRequest): Promise<PlacementDecision> {
        const { links, directory, scheduler, placeLocally } = this.options;
        const { service, call, route, candidates, admission } = request;
        const excluded = directory.available(service).filter(upstream => !candidates.includes(upstream)).map(upstream => upstream.id);
        const answer = await links.request(
            placementVm,
            {
                type: "placementAsk",
                service,
                requestId: call.requestId,
                route: route.name,
                targetMs: route.targetMs,
                ...(call.prompt === undefined ? {} : { prompt: call.prompt }),
                excluded,
                ...(admission === undefined ? {} : { admission }),
            },
            placementTimeoutMs,
            this.stopController.signal,
        );
        const nowMs = scheduler.nowMs();
        if (answer.isErr()) {
            this.backoffUntilMs.set(placementVm, nowMs + backoffMs);
            log("placement VM did not answer; placing calls locally", {
                vm: placementVm,
                service,
                requestId: call.requestId,
                reason: answer.error.message,
            });
            return placeLocally(withoutRefusal({ ...request, nowMs }));
        }
        this.backoffUntilMs.delete(placementVm);
        const { placement, refusal } = answer.value.type === "placementAnswer" ? answer.value : {};
        if (refusal !== undefined && admission?.mayRefuse === true) {
            return refusal;
        }
        const upstream = candidates.find(({ id }) => id === placement?.upstreamId);
        if (placement === undefined || upstream === undefined) {
            return placeLocally(withoutRefusal({ ...request, nowMs }));
        }
        const { readMs, waitMs, dueInMs, delay, reason } = placement;
        return { upstream, readMs, waitMs, dueMs: dueInMs === undefined ? undefined : nowMs + dueInMs, delay, reason };
    }

    private placeForPeer(
        from: string,
        { service, requestId, route, targetMs, prompt, excluded, admission }: PlacementAskMessage,
    ): PeerMessage {
        const { loadTracker, directory, scheduler, placeLocally } = this.options;
        const nowMs = scheduler.nowMs();
        const available = directory.available(service);
        const localPlacement = placeLocally({
            service,
            call: { requestId, prompt },
            route: { name: route, targetMs },
            available,
            candidates: this.withoutSuspects(from, service, available.filter(upstream => !excluded.includes(upstream.id)), excluded, nowMs),
            nowMs,
            admission,
        });
        if (localPlacement === undefined) {
            return { type: "placementAnswer" };
        }
        if ("refusedFor" in localPlacement) {
            return { type: "placementAnswer", refusal: localPlacement };
        }
        const { upstream, readMs, waitMs, dueMs, delay, reason } = localPlacement;
        loadTracker.recordPlacementFor(from, upstream.id, localPlacement, nowMs);
        const dueInMs = dueMs === undefined ? {} : { dueInMs: dueMs - nowMs };
        return { type: "placementAnswer", placement: { upstreamId: upstream.id, readMs, waitMs, ...dueInMs, delay, reason } };
    }

    /** Leaves out upstreams that several VMs avoid, unless no others are left. */
    private withoutSuspects(
        vm: string,
        service: string,
        candidates: readonly RelayUpstream[],
        avoidedIds: readonly string[],
        nowMs: number,
    ): readonly RelayUpstream[] {
        if (this.options.sharesAvoidedUpstreams?.(service) !== true) {
            return candidates;
        }
        this.suspects.record(vm, avoidedIds, nowMs);
        const trusted = candidates.filter(({ id }) => !this.suspects.isSuspect(id, nowMs));
        return trusted.length > 0 ? trusted : candidates;
    }
}

/** A VM that places a call which the placement VM should have placed knows only a part of the load, so it refuses nothing for it. */
function withoutRefusal(request: PlacementRequest): PlacementRequest {
    return request.admission === undefined ? request : { ...request, admission: { ...request.admission, mayRefuse: false } };
}
