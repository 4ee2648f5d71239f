import * as z from "zod";
import { ExplainQuery } from "../explain/ExplainQuery.js";
import { ExplanationPart } from "../explain/ExplanationPart.js";
import { PlacementReason } from "../relay/PlacementReason.js";
import { PromptMetadata } from "../relay/PromptMetadata.js";
import { UpstreamLoad } from "../relay/UpstreamLoad.js";
import { ServiceLevelInterval } from "../report/ServiceLevelInterval.js";
import { GrantEnd } from "./GrantEnd.js";
import { MemberRecord } from "./MemberRecord.js";
import { MemberTombstone } from "./MemberTombstone.js";
import { QuotaLoan } from "./QuotaLoan.js";
import { QuotaReport } from "./QuotaReport.js";
import { Ticket } from "./Ticket.js";

/** Every message between VMs. A new kind of message is one more entry here and one handler. */
export const PeerMessage = z.discriminatedUnion("type", [
    /** Sent to neighbours only; all but the first fields are left out when nothing has changed. */
    z.object({
        type: z.literal("heartbeat"),
        incarnation: z.string(),
        /** Time since the sender last heard from this peer; -1 when it never did. */
        heardMs: z.int(),
        /** Hash over the records of all members, by which two VMs find out that they know different ones. */
        digest: z.int(),
        /** The sender watches this peer, which sends heartbeats in turn. */
        wantsHeartbeats: z.boolean(),
        records: z.array(MemberRecord).optional(),
        gone: z.array(MemberTombstone).optional(),
        /** Offset of the configuration in force on VMs of the sender's zone. */
        offsets: z.array(z.tuple([z.string(), z.int()])).optional(),
        /** Least offset of the configuration in force in each zone. */
        zoneOffsets: z.array(z.tuple([z.string(), z.int()])).optional(),
    }),
    /** Lists what the sender knows (VM, incarnation, version); the peer answers with what is newer. */
    z.object({
        type: z.literal("memberSync"),
        known: z.array(z.tuple([z.string(), z.string(), z.int()])),
        /** Whether the peer should list what it knows in turn. */
        wantsList: z.boolean(),
    }),
    /** Asks whether a VM that the sender no longer hears is heard elsewhere. */
    z.object({ type: z.literal("memberProbe"), vm: z.string(), incarnation: z.string() }),
    z.object({ type: z.literal("memberVouch"), vm: z.string(), incarnation: z.string(), heardMs: z.number().min(0) }),
    z.object({ type: z.literal("ticketOffer"), shard: z.string(), ticket: Ticket }),
    z.object({ type: z.literal("ticketWithdraw"), shard: z.string(), requestId: z.string(), attempt: z.int() }),
    z.object({
        type: z.literal("ticketGrant"),
        shard: z.string(),
        requestId: z.string(),
        attempt: z.int(),
        grantId: z.string(),
        upstreamId: z.string(),
        priority: z.int(),
        /** Wait that a further ticket of this tier would have on the shard. */
        expectedWaitMs: z.number(),
    }),
    z.object({
        type: z.literal("ticketRefuse"),
        shard: z.string(),
        requestId: z.string(),
        attempt: z.int(),
        kind: z.enum(["shed", "queue-timeout", "target-unreachable", "no-upstream", "not-dispatcher"]),
        retryAfterMs: z.number().optional(),
    }),
    /** The dispatcher holds the ticket and will answer later. */
    z.object({ type: z.literal("ticketQueued"), shard: z.string(), requestId: z.string(), attempt: z.int(), expectedWaitMs: z.number() }),
    /** Asked by an entry VM with work on the shard; a dispatcher that does not answer is passed over. */
    z.object({ type: z.literal("shardProbe"), shard: z.string() }),
    z.object({ type: z.literal("shardState"), shard: z.string(), waiting: z.int(), expectedWaitMs: z.number() }),
    /** Tells a new dispatcher of a shard about grants that are running. */
    z.object({
        type: z.literal("grantAdopt"),
        shard: z.string(),
        grants: z.array(
            z.object({ grantId: z.string(), upstreamId: z.string(), ticket: Ticket, outputTokens: z.int(), ageMs: z.number() }),
        ),
    }),
    z.object({
        type: z.literal("grantPreempt"),
        shard: z.string(),
        grantId: z.string(),
        reason: z.enum(["higher-tier", "slow-upstream"]).optional(),
    }),
    z.object({
        type: z.literal("grantProgress"),
        shard: z.string(),
        grantId: z.string(),
        outputTokens: z.int(),
        firstTokenMs: z.number(),
        /** Time between tokens of late; told at once when it stands out. */
        recentGapMs: z.number().optional(),
    }),
    /** Grants still in use; a dispatcher takes a grant that is not renewed as lost. */
    z.object({ type: z.literal("grantKeepAlive"), shard: z.string(), grantIds: z.array(z.string()) }),
    z.object({ type: z.literal("grantEnd"), shard: z.string(), grantId: z.string(), end: GrantEnd }),
    z.object({ type: z.literal("configFetch"), fromOffset: z.int() }),
    z.object({
        type: z.literal("configRecords"),
        records: z.array(z.object({ offset: z.int(), payload: z.instanceof(Uint8Array) })),
        /** A snapshot of the fold, when the sender no longer has the records asked for. */
        snapshot: z.instanceof(Uint8Array).optional(),
    }),
    /** Calls that the sender has in flight on upstreams: all of them, or what has changed since its last report. */
    z.object({ type: z.literal("loadReport"), isWhole: z.boolean(), loads: z.array(UpstreamLoad) }),
    /** Asks the VM that places the calls of a service where one goes. */
    z.object({
        type: z.literal("placementAsk"),
        service: z.string(),
        requestId: z.string(),
        route: z.string(),
        targetMs: z.number(),
        /** Left out for calls without a prompt. */
        prompt: PromptMetadata.optional(),
        /** Upstreams that had the call before, or failed lately as the sender saw it. */
        excluded: z.array(z.string()),
    }),
    z.object({
        type: z.literal("placementAnswer"),
        /** Left out when no upstream takes the call. */
        placement: z.object({
            upstreamId: z.string(),
            readMs: z.number(),
            waitMs: z.number(),
            /** Time from now until the first event is expected. */
            dueInMs: z.number().optional(),
            delay: z.int(),
            reason: PlacementReason,
        }).optional(),
    }),
    /** Records of a keyed stream of the platform's log that the sender has read. */
    z.object({
        type: z.literal("keyedRecords"),
        stream: z.string(),
        fromOffset: z.int(),
        nextOffset: z.int(),
        records: z.array(
            z.object({ offset: z.int(), key: z.string(), value: z.instanceof<typeof Uint8Array<ArrayBufferLike>>(Uint8Array).optional() }),
        ),
    }),
    z.object({ type: z.literal("explainQuery"), query: ExplainQuery }),
    z.object({ type: z.literal("explainAnswer"), part: ExplanationPart }),
    z.object({ type: z.literal("quotaBorrow"), customer: z.string(), report: QuotaReport }),
    z.object({ type: z.literal("quotaLend"), customer: z.string(), loan: QuotaLoan }),
    z.object({ type: z.literal("reportQuery"), sinceMs: z.number() }),
    z.object({ type: z.literal("reportAnswer"), incarnation: z.string(), intervals: z.array(ServiceLevelInterval) }),
]);
export type PeerMessage = z.infer<typeof PeerMessage>;
