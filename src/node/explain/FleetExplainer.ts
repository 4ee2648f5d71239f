import { countMissReasons } from "../../core/explain/countMissReasons.js";
import { isAboutVm } from "../../core/explain/isAboutVm.js";
import { mergeReasonCounts } from "../../core/explain/mergeReasonCounts.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";
import type { ExplainQuery } from "../../schema/explain/ExplainQuery.js";
import type { Explanation } from "../../schema/explain/Explanation.js";
import type { ExplanationPart } from "../../schema/explain/ExplanationPart.js";
import { queryMembers } from "../operator/queryMembers.js";
import type { ConfigService } from "../services/ConfigService.js";
import type { ExplainService } from "../services/ExplainService.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";
import type { EventRing } from "./EventRing.js";

const peerTimeoutMs = 2_000;
/** Limit of the events that each VM returns. */
const maxEvents = 500;
/** Higher than `maxEvents`, because a VM returns these events only summed up by reason. */
const maxJudgedEvents = 100_000;

interface FleetExplainerOptions {
    readonly vm: string;
    readonly ring: EventRing;
    readonly config: ConfigService;
    readonly membership: MembershipService;
    readonly peers: PeerLinks;
    readonly scheduler: Scheduler;
}

/** Looks up decisions in the event rings of all VMs. */
export class FleetExplainer implements ExplainService {
    private configSinceAtMs: number;

    constructor(private readonly options: FleetExplainerOptions) {
        this.configSinceAtMs = options.scheduler.wallMs();
    }

    /** Replies to queries of other VMs until `signal` aborts. */
    start(signal: AbortSignal): void {
        const { config, peers, scheduler } = this.options;
        config.onChange(() => {
            this.configSinceAtMs = scheduler.wallMs();
        }, signal);
        peers.onMessage("explainQuery", (...[, { query }]) => ({ type: "explainAnswer", part: this.findLocalPart(query) }), signal);
    }

    async explain(query: ExplainQuery, signal: AbortSignal): Promise<Explanation> {
        const { vm, membership, peers } = this.options;
        const otherMembers = membership.members.filter(member => member.vm !== vm);
        const localPart = { vm, part: this.findLocalPart(query) };
        const { replies, silentVms } = await queryMembers(
            peers,
            otherMembers,
            { type: "explainQuery", query },
            "explainAnswer",
            peerTimeoutMs,
            signal,
        );
        const parts = [localPart, ...replies.map(({ member, message }) => ({ vm: member.vm, part: message.part }))];
        return {
            events: parts.flatMap(({ part }) => part.events).sort((left, right) => left.atMs - right.atMs),
            reasons: mergeReasonCounts(parts.flatMap(({ part }) => part.reasons)),
            askedVms: [vm, ...otherMembers.map(member => member.vm)],
            silentVms: [...silentVms],
            held: query.type === "config" ? this.listHeldConfigs(parts) : [],
        };
    }

    private findLocalPart(query: ExplainQuery): ExplanationPart {
        const { config } = this.options;
        const part = { events: [], reasons: [], configOffset: config.view.offset, configSinceAtMs: this.configSinceAtMs };
        return { ...part, ...this.queryRing(query) };
    }

    private queryRing(query: ExplainQuery): Partial<ExplanationPart> {
        const { ring, scheduler } = this.options;
        switch (query.type) {
            case "request":
                return { events: ring.find(event => event.subject === query.requestId, maxEvents) };
            case "class":
                return {
                    reasons: countMissReasons(
                        ring.find(createMissFilter(query.serviceClass, scheduler.wallMs() - query.sinceMs), maxJudgedEvents),
                    ),
                };
            case "vm":
                return { events: ring.find(event => isAboutVm(event, query.vm), maxEvents) };
            case "config":
                return { events: ring.find(event => event.kind === "config", maxEvents) };
        }
    }

    private listHeldConfigs(parts: readonly { vm: string; part: ExplanationPart; }[]): Explanation["held"] {
        return this.options.membership.members.map(member => {
            const part = parts.find(candidate => candidate.vm === member.vm)?.part;
            return {
                vm: member.vm,
                availabilityZone: member.availabilityZone,
                configOffset: part?.configOffset ?? member.configOffset,
                sinceAtMs: part?.configSinceAtMs,
            };
        });
    }
}

function createMissFilter(serviceClass: string, sinceAtMs: number): (event: DecisionEvent) => boolean {
    return event =>
        event.kind === "judged" && event.serviceClass === serviceClass && event.atMs >= sinceAtMs && event.facts["missed"] !== undefined;
}
