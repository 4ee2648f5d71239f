import * as z from "zod";
import { ExplainQuery } from "../explain/ExplainQuery.js";
import { ExplanationPart } from "../explain/ExplanationPart.js";
import { EngineSpeedSample } from "../relay/EngineSpeedSample.js";
import { LearnedSpeeds } from "../relay/LearnedSpeeds.js";
import { PlacementReason } from "../relay/PlacementReason.js";
import { PromptMetadata } from "../relay/PromptMetadata.js";
import { RefusalReason } from "../relay/RefusalReason.js";
import { UpstreamLoad } from "../relay/UpstreamLoad.js";
import { ServiceLevelInterval } from "../report/ServiceLevelInterval.js";
import { GrantEnd } from "./GrantEnd.js";
import { MemberRecord } from "./MemberRecord.js";
import { MemberTombstone } from "./MemberTombstone.js";
import { PromptPartNews } from "./PromptPartNews.js";
import { QuotaLoan } from "./QuotaLoan.js";
import { QuotaReport } from "./QuotaReport.js";
import { Ticket } from "./Ticket.js";

/** Any message between VMs. A new message type needs an entry here and a handler. */
export const PeerMessage = z.discriminatedUnion("type", [
    /** Sent to neighbours only. The optional fields are omitted if nothing has changed. */
    z.object({
        type: z.literal("heartbeat"),
        incarnation: z.string(),
        /** Time since the sender last received a heartbeat from this peer; -1 if it never has. */
        heardMs: z.int(),
        /** Hash over the records of the members that are not gone; repeated mismatches trigger a member sync (anti-entropy). */
        digest: z.int(),
        /** Whether this peer should send heartbeats in turn, because the sender watches or probes it. */
        wantsHeartbeats: z.boolean(),
        records: z.array(MemberRecord).optional(),
        gone: z.array(MemberTombstone).optional(),
        /** Offsets of the configuration in force on VMs of the sender's zone, by VM. */
        offsets: z.array(z.tuple([z.string(), z.int()])).optional(),
        /** Lowest offset of the configuration in force in each zone. */
        zoneOffsets: z.array(z.tuple([z.string(), z.int()])).optional(),
    }),
    /**
     * Lists the sender's records of members that are not gone, as VM, incarnation and version. The peer responds with its records that
     * differ, and with its tombstones for VMs on the list.
     */
    z.object({
        type: z.literal("memberSync"),
        known: z.array(z.tuple([z.string(), z.string(), z.int()])),
        /** Whether the peer should list its own records in turn. */
        wantsList: z.boolean(),
    }),
    /** Asks whether the receiver has contact with a VM that the sender has no recent contact with. */
    z.object({ type: z.literal("memberProbe"), vm: z.string(), incarnation: z.string() }),
    /** Positive answer to `memberProbe`; `heardMs` is the time since the sender last had bidirectional contact with the VM. */
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
        /** Expected wait of another ticket of this tier on the shard. */
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
    /** The dispatcher has queued the ticket and will grant or refuse it later. */
    z.object({ type: z.literal("ticketQueued"), shard: z.string(), requestId: z.string(), attempt: z.int(), expectedWaitMs: z.number() }),
    /** Health check by an entry VM with tickets on the shard; a dispatcher that does not respond is skipped. */
    z.object({ type: z.literal("shardProbe"), shard: z.string() }),
    /** Response to `shardProbe`; `expectedWaitMs` is that of the tier with the lowest priority. */
    z.object({ type: z.literal("shardState"), shard: z.string(), waiting: z.int(), expectedWaitMs: z.number() }),
    /** Hands over active grants to the new dispatcher of a shard. */
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
        /** Recent token gap; reported immediately if it is unusually high. */
        recentGapMs: z.number().optional(),
    }),
    /** Grants still in use; the dispatcher treats a grant that is not renewed as lost. */
    z.object({ type: z.literal("grantKeepAlive"), shard: z.string(), grantIds: z.array(z.string()) }),
    z.object({ type: z.literal("grantEnd"), shard: z.string(), grantId: z.string(), end: GrantEnd }),
    z.object({ type: z.literal("configFetch"), fromOffset: z.int() }),
    z.object({
        type: z.literal("configRecords"),
        records: z.array(z.object({ offset: z.int(), payload: z.instanceof(Uint8Array) })),
        /** Snapshot of the folded configuration, if the sender no longer has the requested records. */
        snapshot: z.instanceof(Uint8Array).optional(),
    }),
    /** The sender's in-flight calls on upstreams: all of them if `isWhole`, else the upstreams changed since its last report. */
    z.object({
        type: z.literal("loadReport"),
        isWhole: z.boolean(),
        loads: z.array(UpstreamLoad),
        /** What the sender has observed of the engines' speeds; each sample replaces the sender's earlier one of that engine. */
        speeds: z.array(EngineSpeedSample).optional(),
        /** What the placement VM of a service has learned. A field, as VMs of an earlier version close the link on a new message type. */
        learnedSpeeds: LearnedSpeeds.optional(),
    }),
    /** Asks the VM that places the calls of a service to place a call. */
    z.object({
        type: z.literal("placementAsk"),
        service: z.string(),
        requestId: z.string(),
        route: z.string(),
        targetMs: z.number(),
        /** Omitted for calls without a prompt. */
        prompt: PromptMetadata.optional(),
        /** Upstreams that were already tried for this call, or that recently failed at the sender. */
        excluded: z.array(z.string()),
        /** What admission goes by; omitted by VMs without it, whose calls are not refused. */
        admission: z.object({
            customer: z.string(),
            rank: z.number(),
            remainingMs: z.number(),
            mayRefuse: z.boolean(),
            isFirst: z.boolean().optional(),
        }).optional(),
    }),
    z.object({
        type: z.literal("placementAnswer"),
        /** Omitted if no upstream can take the call. */
        placement: z.object({
            upstreamId: z.string(),
            /** Expected prefill time of the prompt. */
            readMs: z.number(),
            /** Expected wait before the prefill. */
            waitMs: z.number(),
            /** Time until the first event counts as overdue; omitted where a late first event says nothing about the upstream. */
            dueInMs: z.number().optional(),
            /** Priority offset: number of levels by which the upstream is to schedule the call behind others of its tier. */
            delay: z.int(),
            reason: PlacementReason,
        }).optional(),
        /** Refusal for too little room, only of a call that was asked for with `admission`. */
        refusal: z.object({ refusedFor: RefusalReason, retryAfterMs: z.number() }).optional(),
    }),
    /** Asks the VM that places the calls of a service for the load of the fleet on its upstreams. */
    z.object({ type: z.literal("demandAsk"), service: z.string() }),
    z.object({
        type: z.literal("demandAnswer"),
        callsInFlight: z.number().min(0),
        pendingPrefillMs: z.number().min(0),
        /** Whether the sender knows the calls of all VMs. */
        isComplete: z.boolean(),
    }),
    /** Records that the sender has read from a keyed stream of the platform's log. */
    z.object({
        type: z.literal("keyedRecords"),
        stream: z.string(),
        /** 0 if the log has none. */
        epoch: z.int().default(0),
        /** Whether the records are those in force of all keys. */
        isWhole: z.boolean().default(false),
        fromOffset: z.int(),
        nextOffset: z.int(),
        records: z.array(
            z.object({ offset: z.int(), key: z.string(), value: z.instanceof<typeof Uint8Array<ArrayBufferLike>>(Uint8Array).optional() }),
        ),
        /** VMs that the receiver sends the message on to. */
        passOnTo: z.array(z.string()).default([]),
    }),
    /** Asks for the newest records of a keyed stream of the platform's log that the receiver knows. */
    z.object({ type: z.literal("keyedSnapshotAsk"), stream: z.string() }),
    z.object({
        type: z.literal("keyedSnapshotAnswer"),
        /** Omitted while the sender has no records, or too many to send. */
        snapshot: z.object({
            epoch: z.int().default(0),
            /** False if the sender has not heard of the log for too long to tell its position. */
            isRecent: z.boolean().default(true),
            nextOffset: z.int(),
            records: z.array(
                z.object({ offset: z.int(), key: z.string(), value: z.instanceof<typeof Uint8Array<ArrayBufferLike>>(Uint8Array) }),
            ),
        }).optional(),
    }),
    z.object({
        type: z.literal("promptParts"),
        news: PromptPartNews,
        /** Whether the receiver passes the news on to all other VMs. */
        isToBeRelayed: z.boolean(),
    }),
    /** Calls of customers that began to run on the sender and that the receiver has not acknowledged. */
    z.object({
        type: z.literal("usageReport"),
        incarnation: z.string(),
        /** Sequence number of the first run; numbers start at 1 with each incarnation. */
        firstSequence: z.int().min(1),
        /** Monotonic and wall-clock time of the sender when it sent the report. */
        sentMs: z.number(),
        wallMs: z.number(),
        customers: z.array(z.string()),
        /** Index of the customer of each run. */
        customerIndexes: z.array(z.int().min(0)),
        /** Begin of each run in tenths of a millisecond: of the first after `sentMs`, of each other after the one before. */
        beginDeltas: z.array(z.int()),
    }),
    /** Acknowledges the runs of that incarnation of the receiver up to a sequence number; 0 if the sender only announces that it is the holder. */
    z.object({
        type: z.literal("usageReceived"),
        incarnation: z.string(),
        sequence: z.int().min(0),
        /** Whether the sender holds the lease, so that it gets reports whatever its rank. */
        isHolder: z.boolean(),
    }),
    z.object({ type: z.literal("explainQuery"), query: ExplainQuery }),
    z.object({ type: z.literal("explainAnswer"), part: ExplanationPart }),
    z.object({ type: z.literal("quotaBorrow"), customer: z.string(), report: QuotaReport }),
    z.object({ type: z.literal("quotaLend"), customer: z.string(), loan: QuotaLoan }),
    z.object({ type: z.literal("reportQuery"), sinceMs: z.number() }),
    z.object({ type: z.literal("reportAnswer"), incarnation: z.string(), intervals: z.array(ServiceLevelInterval) }),
]);
export type PeerMessage = z.infer<typeof PeerMessage>;
