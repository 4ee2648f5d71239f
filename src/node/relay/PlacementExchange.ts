import { choosePlacementVm } from "../../core/relay/choosePlacementVm.js";
import type { Placement } from "../../core/relay/Placement.js";
import type { PlacementRequest } from "../../core/relay/PlacementRequest.js";
import type { UpstreamDirectory } from "../../core/relay/UpstreamDirectory.js";
import type { UpstreamLoadTracker } from "../../core/relay/UpstreamLoadTracker.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { createLogger } from "../logs/createLogger.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";

const log = createLogger("place");

type PlacementAsk = Extract<PeerMessage, { type: "placementAsk"; }>;

interface PlacementExchangeOptions {
    readonly vm: string;
    readonly loadTracker: UpstreamLoadTracker;
    readonly directory: UpstreamDirectory;
    readonly links: PeerLinks;
    readonly membership: MembershipService;
    readonly scheduler: Scheduler;
    /** Places a call by what this VM knows. */
    readonly placeLocally: (request: PlacementRequest) => Placement | undefined;
}

/** Longest wait for the placing VM, a tenth of the shortest target; zones lie within a millisecond. */
const askTimeoutMs = 30;
/** A placing VM that did not answer is not asked for this long, so that one that is gone delays few calls until the view tells it. */
const restMs = 400;

/** Has calls placed by one VM for each service, which knows what all have in flight, and places calls of others in turn. */
export class PlacementExchange {
    /** When each placing VM that failed to answer may be asked again. */
    private readonly restsUntilMs = new Map<string, number>();
    private readonly stopped = new AbortController();

    constructor(private readonly options: PlacementExchangeOptions) {}

    start(signal: AbortSignal): void {
        this.options.links.onMessage("placementAsk", (from, ask) => this.placeFor(from, ask), signal);
        signal.addEventListener("abort", () => {
            this.stopped.abort();
        }, { once: true });
    }

    /** Places a call here, or has it placed; here too when the placing VM does not answer in time. */
    place(request: PlacementRequest): Placement | undefined | Promise<Placement | undefined> {
        const { vm, membership, scheduler, placeLocally: placeHere } = this.options;
        const placing = choosePlacementVm(request.service, membership.members);
        if (placing === undefined || placing === vm || (this.restsUntilMs.get(placing) ?? 0) > scheduler.nowMs()) {
            return placeHere(request);
        }
        return this.ask(placing, request);
    }

    private async ask(placing: string, request: PlacementRequest): Promise<Placement | undefined> {
        const { links, directory, scheduler, placeLocally: placeHere } = this.options;
        const { service, call, route, candidates } = request;
        const excluded = directory.available(service).filter(upstream => !candidates.includes(upstream)).map(upstream => upstream.id);
        const answer = await links.request(
            placing,
            {
                type: "placementAsk",
                service,
                requestId: call.requestId,
                route: route.name,
                targetMs: route.targetMs,
                ...(call.prompt === undefined ? {} : { prompt: call.prompt }),
                excluded,
            },
            askTimeoutMs,
            this.stopped.signal,
        );
        const nowMs = scheduler.nowMs();
        if (answer.isErr()) {
            this.restsUntilMs.set(placing, nowMs + restMs);
            log("placing VM did not answer; calls are placed here", {
                vm: placing,
                service,
                requestId: call.requestId,
                reason: answer.error.message,
            });
            return placeHere({ ...request, nowMs });
        }
        this.restsUntilMs.delete(placing);
        const placement = answer.value.type === "placementAnswer" ? answer.value.placement : undefined;
        const upstream = candidates.find(({ id }) => id === placement?.upstreamId);
        if (placement === undefined || upstream === undefined) {
            return placeHere({ ...request, nowMs });
        }
        const { readMs, waitMs, dueInMs, delay, reason } = placement;
        return { upstream, readMs, waitMs, dueMs: dueInMs === undefined ? undefined : nowMs + dueInMs, delay, reason };
    }

    private placeFor(from: string, { service, requestId, route, targetMs, prompt, excluded }: PlacementAsk): PeerMessage {
        const { loadTracker: board, directory, scheduler, placeLocally: placeHere } = this.options;
        const nowMs = scheduler.nowMs();
        const available = directory.available(service);
        const placed = placeHere({
            service,
            call: { requestId, prompt },
            route: { name: route, targetMs },
            available,
            candidates: available.filter(upstream => !excluded.includes(upstream.id)),
            nowMs,
        });
        if (placed === undefined) {
            return { type: "placementAnswer" };
        }
        const { upstream, readMs, waitMs, dueMs, delay, reason } = placed;
        board.recordPlacementFor(from, upstream.id, placed, nowMs);
        const dueInMs = dueMs === undefined ? {} : { dueInMs: dueMs - nowMs };
        return { type: "placementAnswer", placement: { upstreamId: upstream.id, readMs, waitMs, ...dueInMs, delay, reason } };
    }
}
