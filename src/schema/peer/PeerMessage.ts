import { z } from "zod";
import { GrantEnd } from "./GrantEnd.js";
import { Ticket } from "./Ticket.js";

/** Every message between VMs. A new kind of message is one more entry here and one handler. */
export const PeerMessage = z.discriminatedUnion("type", [
    z.object({
        type: z.literal("heartbeat"),
        vm: z.string(),
        incarnation: z.string(),
        state: z.enum(["ready", "starting", "draining"]),
        configOffset: z.int(),
        /** Members that the sender has heard of, for discovery; only those changed since the last heartbeat to this peer. */
        members: z.array(z.object({
            vm: z.string(),
            incarnation: z.string(),
            availabilityZone: z.string(),
            region: z.string(),
            peerUrl: z.string(),
            state: z.enum(["ready", "starting", "draining", "gone"]),
            configOffset: z.int(),
        })),
    }),
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
    z.object({ type: z.literal("ticketQueued"), shard: z.string(), requestId: z.string(), attempt: z.int(), position: z.int() }),
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
    z.object({ type: z.literal("grantPreempt"), shard: z.string(), grantId: z.string() }),
    z.object({ type: z.literal("grantProgress"), shard: z.string(), grantId: z.string(), outputTokens: z.int(), firstTokenMs: z.number() }),
    z.object({ type: z.literal("grantEnd"), shard: z.string(), grantId: z.string(), end: GrantEnd }),
    z.object({ type: z.literal("configFetch"), fromOffset: z.int() }),
    z.object({
        type: z.literal("configRecords"),
        records: z.array(z.object({ offset: z.int(), payload: z.instanceof(Uint8Array) })),
        /** A snapshot of the fold, when the sender no longer has the records asked for. */
        snapshot: z.instanceof(Uint8Array).optional(),
    }),
    z.object({ type: z.literal("quotaBorrow"), customer: z.string(), requests: z.number(), tokens: z.number(), concurrent: z.int() }),
    z.object({
        type: z.literal("quotaLend"),
        customer: z.string(),
        requests: z.number(),
        tokens: z.number(),
        concurrent: z.int(),
        validMs: z.number(),
    }),
    z.object({ type: z.literal("explainQuery"), subject: z.string() }),
    z.object({ type: z.literal("explainAnswer"), events: z.array(z.unknown()) }),
    z.object({ type: z.literal("reportQuery"), sinceMs: z.number() }),
    z.object({ type: z.literal("reportAnswer"), intervals: z.array(z.unknown()) }),
]);
export type PeerMessage = z.infer<typeof PeerMessage>;
