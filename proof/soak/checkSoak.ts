import type { SoakCall } from "./SoakCall.js";
import { soakEvents } from "./soakEvents.js";
import type { SoakFault } from "./SoakFault.js";
import type { SoakHistory } from "./SoakHistory.js";
import { soakSeal } from "./soakSeal.js";

/** A draining upstream must get no new work later than 2 s after it began to drain, the users' bound, plus the stable window. */
const drainLimitMs = 2_000;
const stableWindowMs = 3_000;
/** Calls must be served again this long after the last fault, the users' bound for recovery. */
const recoveryLimitMs = 12_000;
/** Share of the calls after recovery that must be served; the users' bound is a quarter where less was served before. */
const minServedShare = 0.95;
/** A VM may take calls for this long after SIGTERM, until it is killed: its 8 s grace period and 1 s. */
const graceMs = 9_000;
/** An upstream that has turned a call away gets at most two of that VM from half a second after it until its pause ends. */
const pauseSlackMs = 500;
const maxCallsInPause = 2;
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Checks a history against the product's guarantees; each entry describes one violation as `guarantee: details`. */
export function checkSoak(history: SoakHistory): readonly string[] {
    return [
        ...history.calls.flatMap(call => checkAnswer(call)),
        ...checkRuns(history),
        ...checkDrains(history),
        ...checkPauses(history),
        ...checkLeaving(history),
        ...checkStops(history),
        ...checkRecovery(history),
        ...history.unexpectedExits.map(vm => `exit: ${vm} exited without a signal from the soak`),
    ];
}

function checkAnswer(call: SoakCall): readonly string[] {
    if (call.status < 200 || call.status > 299) {
        return [];
    }
    if (call.seal !== soakSeal(call.id)) {
        return [`mixed: ${call.id} was answered with the seal ${String(call.seal)}`];
    }
    const events = call.text.split(/(?<=\n\n)/).filter(event => event.endsWith("\n\n"));
    const expectedEvents = call.route === "stream" ? soakEvents(call.id, 0) : [`done ${call.id}`];
    if (call.route !== "stream") {
        return call.error !== undefined || call.text === expectedEvents[0]
            ? []
            : [`mixed: ${call.id} was answered with the body ${JSON.stringify(call.text)}`];
    }
    if (events.some((event, index) => event !== expectedEvents[index])) {
        return [`order: ${call.id} received the events ${JSON.stringify(events)}`];
    }
    return call.error === undefined && events.length !== expectedEvents.length
        ? [`order: the stream of ${call.id} ended without an error after ${events.length} of ${expectedEvents.length} events`]
        : [];
}

function checkRuns({ calls, runs }: SoakHistory): readonly string[] {
    const runCounts = new Map<string, number>();
    for (const { id } of runs) {
        runCounts.set(id, (runCounts.get(id) ?? 0) + 1);
    }
    const sentIds = new Set(calls.map(call => call.id));
    return [
        ...calls.filter(call => call.route === "once" && (runCounts.get(call.id) ?? 0) > 1).map(call =>
            `twice: ${call.id} ran more than once`
        ),
        ...calls.filter(call => call.route === "once" && notRunStatuses.has(call.status) && runCounts.has(call.id))
            .map(call => `refused: ${call.id} was answered with ${call.status} but ran`),
        ...[...runCounts.keys()].filter(id => !sentIds.has(id)).map(id => `unasked: ${id} ran but no caller sent it`),
    ];
}

/** Finds work sent to an upstream long after it began to drain, unless the store was disturbed or a VM paused. */
function checkDrains({ runs, faults }: SoakHistory): readonly string[] {
    const isExcuse = (fault: SoakFault) => fault.kind.startsWith("store-") || fault.kind === "pause";
    return runs
        .filter(({ atMs, drainingSinceMs }) => drainingSinceMs !== undefined && atMs - drainingSinceMs > drainLimitMs + stableWindowMs)
        .filter(({ atMs, drainingSinceMs = 0 }) =>
            !faults.some(fault => isExcuse(fault) && overlaps(fault, drainingSinceMs - stableWindowMs, atMs))
        )
        .map(({ id, upstream, atMs, drainingSinceMs = 0 }) =>
            `drain: ${upstream} got ${id} ${Math.round(atMs - drainingSinceMs)} ms after it began to drain`
        );
}

/** Finds more than two calls of a VM that reached an upstream in the pause that the upstream had asked that VM for. */
function checkPauses(history: SoakHistory): readonly string[] {
    const vmOf = new Map(history.calls.map(call => [call.id, call.vm]));
    return history.arrivals.flatMap(({ id, upstream, atMs, pauseMs = 0 }) => {
        const vm = vmOf.get(id);
        const during = history.arrivals.filter(other =>
            other.upstream === upstream && vmOf.get(other.id) === vm && other.atMs > atMs + pauseSlackMs && other.atMs < atMs + pauseMs
        );
        return during.length <= maxCallsInPause || isNoticeLost(history, vm, atMs, atMs + pauseMs)
            ? []
            : [`pause: ${upstream} got ${during.length} calls of ${vm} within ${pauseMs} ms after it turned ${id} away`];
    });
}

/** Finds calls that reached an upstream long after the VM that sent them had passed on a response saying that it is leaving. */
function checkLeaving(history: SoakHistory): readonly string[] {
    const calls = new Map(history.calls.map(call => [call.id, call]));
    return history.arrivals.flatMap(({ id, upstream, born, atMs }) => {
        const call = calls.get(id);
        const told = history.arrivals.find(other => {
            const earlier = calls.get(other.id);
            return other.isLeaving && other.upstream === upstream && other.born === born && earlier?.vm === call?.vm
                && earlier?.seal !== undefined && (call?.sentMs ?? 0) > earlier.endedMs + drainLimitMs;
        });
        return told === undefined || isNoticeLost(history, call?.vm, told.atMs, atMs)
            ? []
            : [`leaving: ${upstream} got ${id} long after it had told ${call?.vm} in its response to ${told.id} that it was leaving`];
    });
}

/** Whether a VM may not know what an upstream told it: it was restarted or paused since, or the connections of upstreams were disturbed. */
function isNoticeLost({ faults, vms }: SoakHistory, vm: string | undefined, fromMs: number, toMs: number): boolean {
    const excuses = ({ kind, target }: SoakFault) =>
        ["upstream-silent", "upstream-one-way", "upstream-resets", "upstream-slow"].includes(kind)
        || ["kill", "stop", "pause"].includes(kind) && vms[target] === vm;
    return faults.some(fault => excuses(fault) && overlaps(fault, fromMs, toMs));
}

/**
 * Finds calls that a VM cut off, or forwarded but never answered, while it was stopping. Only faults of upstreams and of that VM itself are an
 * excuse: the store and other VMs have no part in a call that has been forwarded.
 */
function checkStops({ calls, runs, faults, vms }: SoakHistory): readonly string[] {
    const ran = new Set(runs.map(run => run.id));
    return calls.filter(call => call.error !== undefined && (call.status !== 0 || ran.has(call.id))).flatMap(call => {
        const stop = faults.find(({ kind, atMs, target }) =>
            kind === "stop" && vms[target] === call.vm && call.endedMs >= atMs && call.sentMs <= atMs + graceMs
        );
        const excuses = ({ kind, target }: SoakFault) =>
            kind.startsWith("upstream-") || (kind === "kill" || kind === "pause") && vms[target] === call.vm;
        const isDisturbed = faults.some(fault => excuses(fault) && overlaps(fault, call.sentMs - stableWindowMs, call.endedMs));
        return stop === undefined || isDisturbed ? [] : [`lost: ${call.vm} cut off ${call.id} while stopping: ${String(call.error)}`];
    });
}

function checkRecovery({ calls, faultsEndedMs }: SoakHistory): readonly string[] {
    const callsAfterRecovery = calls.filter(call => call.sentMs > faultsEndedMs + recoveryLimitMs);
    const served = callsAfterRecovery.filter(call => call.status === 200 && call.error === undefined);
    return callsAfterRecovery.length > 0 && served.length < callsAfterRecovery.length * minServedShare
        ? [`recover: ${served.length} of ${callsAfterRecovery.length} calls were served more than ${recoveryLimitMs} ms after the last fault`]
        : [];
}

/** Whether a fault can have effects within the interval; effects last until one stable window after its end. */
function overlaps({ atMs, durationMs }: SoakFault, fromMs: number, toMs: number): boolean {
    return atMs <= toMs && atMs + durationMs + stableWindowMs >= fromMs;
}
