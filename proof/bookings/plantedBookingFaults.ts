import type { BookingRecord } from "../../src/core/booking/BookingRecord.js";
import type { ClaimEntry } from "../../src/core/booking/ClaimEntry.js";
import type { LogBookingService } from "../../src/node/booking/LogBookingService.js";
import type { PlantedBookingFault } from "./PlantedBookingFault.js";

interface Claim {
    readonly key: string;
    readonly nonce: number;
    status: string;
    isConfirmed: boolean;
}

interface Keyed {
    readonly digest: string;
    readonly key: string;
    readonly send: () => Promise<unknown>;
    readonly call: { hasUpstreamDeduplication: boolean; };
}

/** The private members that the planted faults replace. */
interface Insides {
    readonly table: { entries: Map<string, ClaimEntry>; abandonedAtMs: Map<string, number>; markRecentlyClaimed: unknown; fold: unknown; };
    readonly claims: Map<number, Claim>;
    appendClaim(keyed: Keyed): Claim;
    abandon(claim: Claim): void;
    appendAbandon(key: string, nonce: number): void;
    appendOutcome(claim: Claim, record: BookingRecord): void;
    isWithinClaimWait(claim: Claim): boolean;
    resolveClaim(keyed: Keyed, claim: Claim): Promise<unknown>;
    sendAndRecord(keyed: Keyed, claim: Claim): Promise<{ isErr(): boolean; error: { outcome: string; }; }>;
    replayOrJoin(keyed: Keyed, entry: ClaimEntry): Promise<unknown>;
    runCall(keyed: Keyed): Promise<unknown>;
}

function insides(service: LogBookingService): Insides {
    return service as unknown as Insides;
}

/** Planted faults for the invariants of keyed calls, at least one for each except `told-twice` (see checkBookings.test.ts). */
export const plantedBookingFaults: readonly PlantedBookingFault[] = [
    {
        name: "send before the claim is read back",
        invariant: "sent-unclaimed",
        plant: service => {
            const inner = insides(service);
            const appendClaim = inner.appendClaim.bind(service);
            inner.appendClaim = keyed => Object.assign(appendClaim(keyed), { status: "won" });
        },
    },
    {
        name: "send before the claim is read back, judged by the runs",
        invariant: "doubled",
        plant: service => {
            const inner = insides(service);
            const appendClaim = inner.appendClaim.bind(service);
            inner.appendClaim = keyed => Object.assign(appendClaim(keyed), { status: "won" });
        },
    },
    {
        name: "send also when the claim has lost",
        invariant: "doubled",
        plant: service => {
            const inner = insides(service);
            const resolveClaim = inner.resolveClaim.bind(service);
            inner.resolveClaim = (keyed, claim) => {
                claim.status = claim.status === "lost" ? "won" : claim.status;
                return resolveClaim(keyed, claim);
            };
        },
    },
    {
        name: "send under a claim that has grown old in a pause",
        invariant: "sent-late",
        plant: service => {
            insides(service).isWithinClaimWait = () => true;
        },
    },
    {
        name: "forget to abandon",
        invariant: "key-blocked",
        plant: service => {
            insides(service).appendAbandon = () => undefined;
        },
    },
    {
        name: "abandon only once, so that a claim repeated late holds the key",
        invariant: "key-blocked",
        plant: service => {
            const inner = insides(service);
            inner.table.abandonedAtMs.set = () => inner.table.abandonedAtMs;
            const appendAbandon = inner.appendAbandon.bind(service);
            const done = new Set<number>();
            inner.appendAbandon = (key, nonce) => {
                if (!done.has(nonce)) {
                    done.add(nonce);
                    appendAbandon(key, nonce);
                }
            };
        },
    },
    {
        name: "abandon a claim under which the call was sent",
        invariant: "doubled",
        plant: service => {
            const inner = insides(service);
            inner.appendOutcome = claim => {
                inner.abandon(claim);
            };
        },
    },
    {
        name: "tell not-run when the answer was lost",
        invariant: "false-not-run",
        plant: service => {
            const inner = insides(service);
            const sendAndRecord = inner.sendAndRecord.bind(service);
            inner.sendAndRecord = async (keyed, claim) => {
                const result = await sendAndRecord(keyed, claim);
                return result.isErr() ? Object.assign(result, { error: { ...result.error, outcome: "not-run" } }) : result;
            };
        },
    },
    {
        name: "replay another key's answer",
        invariant: "wrong-answer",
        plant: service => {
            const inner = insides(service);
            const replayOrJoin = inner.replayOrJoin.bind(service);
            inner.replayOrJoin = (keyed, entry) => {
                const other = [...inner.table.entries.values()].find(candidate =>
                    candidate.state === "answered" && candidate.key !== keyed.key
                );
                return replayOrJoin(keyed, other === undefined ? entry : { ...other, digest: keyed.digest });
            };
        },
    },
    {
        name: "replay without comparing digests",
        invariant: "key-reuse",
        plant: service => {
            const inner = insides(service);
            const replayOrJoin = inner.replayOrJoin.bind(service);
            inner.replayOrJoin = (keyed, entry) => replayOrJoin({ ...keyed, digest: entry.digest }, entry);
        },
    },
    {
        name: "do not append the outcome",
        invariant: "answer-lost",
        plant: service => {
            insides(service).appendOutcome = () => undefined;
        },
    },
    {
        name: "send once more when the upstream fails",
        invariant: "sent-twice",
        plant: service => {
            const inner = insides(service);
            const runCall = inner.runCall.bind(service);
            inner.runCall = keyed => runCall({ ...keyed, send: () => keyed.send().catch(() => keyed.send()) });
        },
    },
    {
        name: "send after the caller was told",
        invariant: "sent-after-told",
        plant: service => {
            const inner = insides(service);
            const runCall = inner.runCall.bind(service);
            inner.runCall = async keyed => {
                const result = await runCall(keyed);
                setImmediate(() => {
                    keyed.send().catch(() => undefined);
                });
                return result;
            };
        },
    },
    {
        name: "treat every upstream as deduplicating, so that callers of one key get different answers",
        invariant: "two-answers",
        plant: service => {
            const inner = insides(service);
            const runCall = inner.runCall.bind(service);
            inner.runCall = keyed => runCall({ ...keyed, call: { ...keyed.call, hasUpstreamDeduplication: true } });
        },
    },
    {
        name: "never answer a joined call",
        invariant: "never-told",
        plant: service => {
            insides(service).replayOrJoin = () => new Promise(() => undefined);
        },
    },
];
