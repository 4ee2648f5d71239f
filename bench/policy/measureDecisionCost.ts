import { defaultDispatchOptions } from "../../src/core/dispatch/defaultDispatchOptions.js";
import { ShardDispatcher } from "../../src/core/dispatch/ShardDispatcher.js";
import type { Ticket } from "../../src/schema/peer/Ticket.js";
import { seededRandom } from "./seededRandom.js";
import { workloads } from "./workloads.js";

const engineCount = 16;
const slotsPerEngine = 16;
const warmUpRounds = 5_000;
const batchCount = 9;
const roundsPerBatch = 4_000;

/** Time that the decisions for one request take with `waiting` tickets in the queue. */
interface DecisionCost {
    readonly waiting: number;
    /** Median over batches of rounds. */
    readonly microsecondsPerRequest: number;
}

/** Measures the time that the decisions for one request take, by number of waiting tickets: its offer, the end of another request and the resulting grant. */
export function measureDecisionCost(): readonly DecisionCost[] {
    return [100, 1_000, 10_000, 100_000].map(waiting => ({ waiting, microsecondsPerRequest: measureMicroseconds(waiting) }));
}

function measureMicroseconds(waiting: number): number {
    const random = seededRandom(1);
    const dispatcher = new ShardDispatcher({ ...defaultDispatchOptions, maxWaitingTickets: 1_000_000 }, random);
    const classes = (workloads.find(workload => workload.name === "seven-tiers") as (typeof workloads)[number]).classes;
    dispatcher.setClasses(classes.map(jobClass => jobClass.serviceClass));
    const upstreams = [...Array(engineCount).keys()].map(index => ({
        id: `engine-${index}`,
        availabilityZone: "zone-1",
        maxInFlight: slotsPerEngine,
        leaving: false,
    }));
    dispatcher.setUpstreams(upstreams, 0);
    const running: string[] = [];
    let sequence = 0;
    let nowMs = 0;
    const offer = (ticket: Ticket) => {
        for (const action of dispatcher.offer(ticket, nowMs)) {
            if (action.type === "grant") {
                running.push(action.grantId);
            }
        }
    };
    const runRound = (ticket: Ticket) => {
        nowMs += 0.01;
        offer(ticket);
        const ended = running.splice(Math.floor(random() * running.length), 1)[0] as string;
        dispatcher.recordProgress(ended, 1, 60, nowMs, 25);
        for (const action of dispatcher.endGrant(ended, { result: "completed", outputTokens: 100, meanTokenGapMs: 25 }, nowMs)) {
            if (action.type === "grant") {
                running.push(action.grantId);
            }
        }
    };
    const createTickets = (count: number) => [...Array(count).keys()].map(() => createTicket(sequence++, random));
    createTickets(waiting + engineCount * slotsPerEngine).forEach(offer);
    createTickets(warmUpRounds).forEach(runRound);
    const batchCosts = [...Array(batchCount).keys()].map(() => {
        const batch = createTickets(roundsPerBatch);
        const startMs = performance.now();
        batch.forEach(runRound);
        return (performance.now() - startMs) * 1_000 / roundsPerBatch;
    });
    batchCosts.sort((left, right) => left - right);
    return Math.round((batchCosts[batchCount >> 1] as number) * 10) / 10;
}

function createTicket(sequence: number, random: () => number): Ticket {
    const tier = Math.floor(random() * 7);
    return {
        requestId: `request-${sequence}`,
        attempt: 0,
        entryVm: "vm-1",
        availabilityZone: "zone-1",
        customer: `customer-${Math.floor(random() * 100)}`,
        serviceClass: `tier-${tier}`,
        tier,
        pool: "pool",
        service: "model",
        promptTokens: 100 + Math.floor(random() * 2_000),
        maxOutputTokens: 1_024,
        prefixHashes: [...Array(8).keys()].map(block => Math.floor(random() * 100) * 100 + block),
        waitedMs: 0,
        firstTokenTargetMs: 450 * (tier + 1),
        maxQueueMs: 3_600_000,
        excludedUpstreams: [],
    };
}
