import type { SoakCall } from "./SoakCall.js";
import { soakEvents } from "./soakEvents.js";
import type { SoakFault } from "./SoakFault.js";
import type { SoakHistory } from "./SoakHistory.js";
import { soakSeal } from "./soakSeal.js";

/** An upstream that is leaving gets no new work later than this, by the users' bounds: 2 s, and the slack of a stable window. */
const leaveMs = 2_000;
const stableMs = 3_000;
/** Calls are served again this long after the last fault, by the users' bound for recovery. */
const recoverMs = 12_000;
/** Of the calls after recovery this share is served: a quarter is the users' bound where less was served before. */
const recoveredShare = 0.95;
/** A VM may take calls for this long after SIGTERM, until it is killed: its time of grace and a second. */
const graceMs = 9_000;
const promisesNotRun: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Checks the promises of the product on what callers and upstreams saw; each entry tells one broken promise. */
export function checkSoak(history: SoakHistory): readonly string[] {
    return [
        ...history.calls.flatMap(call => checkAnswer(call)),
        ...checkRuns(history),
        ...checkLeaving(history),
        ...checkStops(history),
        ...checkRecovery(history),
        ...history.ownExits.map(vm => `exit: ${vm} ended by itself`),
    ];
}

function checkAnswer(call: SoakCall): readonly string[] {
    if (call.status < 200 || call.status > 299) {
        return [];
    }
    if (call.seal !== soakSeal(call.id)) {
        return [`mixed: ${call.id} was answered with ${String(call.seal)}`];
    }
    const events = call.text.split(/(?<=\n\n)/).filter(event => event.endsWith("\n\n"));
    const wanted = call.route === "stream" ? soakEvents(call.id, 0) : [`done ${call.id}`];
    if (call.route !== "stream") {
        return call.error !== undefined || call.text === wanted[0] ? [] : [`mixed: ${call.id} was told ${JSON.stringify(call.text)}`];
    }
    if (events.some((event, index) => event !== wanted[index])) {
        return [`order: ${call.id} got ${JSON.stringify(events)}`];
    }
    return call.error === undefined && events.length !== wanted.length
        ? [`order: the stream of ${call.id} looked complete after ${events.length} of ${wanted.length} events`]
        : [];
}

function checkRuns({ calls, runs }: SoakHistory): readonly string[] {
    const counts = new Map<string, number>();
    for (const { id } of runs) {
        counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    const asked = new Set(calls.map(call => call.id));
    return [
        ...calls.filter(call => call.route === "once" && (counts.get(call.id) ?? 0) > 1).map(call =>
            `twice: ${call.id} ran more than once`
        ),
        ...calls.filter(call => call.route === "once" && promisesNotRun.has(call.status) && counts.has(call.id))
            .map(call => `refused: ${call.id} was answered ${call.status} and has run`),
        ...[...counts.keys()].filter(id => !asked.has(id)).map(id => `unasked: ${id} ran and no caller asked for it`),
    ];
}

/** Work at an upstream long after it said that it leaves, while the store and the VMs were undisturbed. */
function checkLeaving({ runs, faults }: SoakHistory): readonly string[] {
    const hides = (fault: SoakFault) => fault.kind.startsWith("store-") || fault.kind === "pause";
    return runs
        .filter(({ atMs, leavingSinceMs }) => leavingSinceMs !== undefined && atMs - leavingSinceMs > leaveMs + stableMs)
        .filter(({ atMs, leavingSinceMs = 0 }) => !faults.some(fault => hides(fault) && overlaps(fault, leavingSinceMs - stableMs, atMs)))
        .map(({ id, upstream, atMs, leavingSinceMs = 0 }) =>
            `drain: ${upstream} got ${id} ${Math.round(atMs - leavingSinceMs)} ms after it told that it leaves`
        );
}

/**
 * Calls that a VM broke off or never answered though it had sent them on, while it was being stopped. Only faults of upstreams, and of that VM
 * itself, excuse it: the store and other VMs have no part in a call that was sent on.
 */
function checkStops({ calls, runs, faults, vms }: SoakHistory): readonly string[] {
    const ran = new Set(runs.map(run => run.id));
    return calls.filter(call => call.error !== undefined && (call.status !== 0 || ran.has(call.id))).flatMap(call => {
        const stop = faults.find(({ kind, atMs, target }) =>
            kind === "stop" && vms[target] === call.vm && call.endedMs >= atMs && call.askedMs <= atMs + graceMs
        );
        const excuses = ({ kind, target }: SoakFault) =>
            kind.startsWith("upstream-") || (kind === "kill" || kind === "pause") && vms[target] === call.vm;
        const isDisturbed = faults.some(fault => excuses(fault) && overlaps(fault, call.askedMs - stableMs, call.endedMs));
        return stop === undefined || isDisturbed ? [] : [`lost: ${call.vm} broke ${call.id} off while it stopped: ${String(call.error)}`];
    });
}

function checkRecovery({ calls, calmMs }: SoakHistory): readonly string[] {
    const late = calls.filter(call => call.askedMs > calmMs + recoverMs);
    const served = late.filter(call => call.status === 200 && call.error === undefined);
    return late.length > 0 && served.length < late.length * recoveredShare
        ? [`recover: ${served.length} of ${late.length} calls were served ${recoverMs} ms after the last fault`]
        : [];
}

/** Faults of connections and processes may show until a stable window after their end. */
function overlaps({ atMs, forMs }: SoakFault, fromMs: number, toMs: number): boolean {
    return atMs <= toMs && atMs + forMs + stableMs >= fromMs;
}
