import type { PeerMessage } from "../../src/schema/peer/PeerMessage.js";

const maxPromptBlocks = 12;

/** Peer messages for one request and the quota loan of its customer, as exchanged with a dispatcher in the same zone. */
export function requestMessages(sequence: number, customerNumber: number, random: () => number): PeerMessage[] {
    const requestId = [8, 4, 4, 4, 12].map(length => randomHex(length, random)).join("-");
    const shard = `pumpline-model-new/lautoka/${sequence % 8}`;
    const grantId = `${randomHex(7, random)}/${sequence}`;
    const customer = `customer-${customerNumber}`;
    const firstTokenMs = random() * 400;
    const used = Math.floor(random() * 1_000);
    return [
        { type: "ticketOffer", shard, ticket: createTicket(requestId, sequence, customer, random) },
        {
            type: "ticketGrant",
            shard,
            requestId,
            attempt: sequence,
            grantId,
            upstreamId: `engine-lautoka-${Math.floor(random() * 120)}`,
            priority: sequence % 7,
            expectedWaitMs: Math.floor(random() * 20),
        },
        { type: "grantProgress", shard, grantId, outputTokens: 1, firstTokenMs },
        { type: "grantProgress", shard, grantId, outputTokens: 8, firstTokenMs, recentGapMs: 20 + random() * 15 },
        {
            type: "grantEnd",
            shard,
            grantId,
            end: {
                result: "completed",
                outputTokens: Math.floor(random() * 650),
                firstTokenMs,
                maxTokenGapMs: random() * 60,
                meanTokenGapMs: 20 + random() * 15,
            },
        },
        {
            type: "quotaBorrow",
            customer,
            report: {
                wantedRequests: 4,
                wantedTokens: 4_400,
                wantedConcurrent: 5,
                usedRequests: used,
                usedTokens: used * 1_100,
                inFlight: 1,
            },
        },
        {
            type: "quotaLend",
            customer,
            loan: { requests: 4, tokens: 4_400, concurrent: 5, validMs: 2_000, fleetUsedRequests: random(), fleetUsedTokens: random() },
        },
    ];
}

function createTicket(requestId: string, sequence: number, customer: string, random: () => number) {
    return {
        requestId,
        attempt: sequence,
        entryVm: "lautoka-12",
        availabilityZone: "lautoka",
        customer,
        serviceClass: `tier-${sequence % 7}`,
        tier: sequence % 7,
        pool: "pumpline-model-new",
        service: "pumpline-model",
        promptTokens: Math.floor(random() * 3_000),
        maxOutputTokens: 1_024,
        prefixHashes: [...Array(Math.floor(random() * maxPromptBlocks)).keys()].map(() => Math.floor(random() * 2 ** 32)),
        waitedMs: random(),
        firstTokenTargetMs: 450,
        maxQueueMs: 30_000,
        excludedUpstreams: [],
    };
}

function randomHex(length: number, random: () => number): string {
    return [...Array(length).keys()].map(() => Math.floor(random() * 16).toString(16)).join("");
}
