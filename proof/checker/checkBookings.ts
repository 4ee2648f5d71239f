import { BookingHistory } from "./BookingHistory.js";
import type { CheckLimits } from "./CheckLimits.js";
import { checkReadBack } from "./checkReadBack.js";
import type { HistoryEvent } from "./HistoryEvent.js";
import type { Violation } from "./Violation.js";

type CallHistory = BookingHistory["calls"] extends Map<number, infer T> ? T : never;

/** Every broken promise about keyed calls in a recorded history. */
export function checkBookings(events: readonly HistoryEvent[], limits: CheckLimits): Violation[] {
    const history = new BookingHistory(events);
    const violations = [...checkReadBack(events, limits)];
    for (const [key, calls] of history.byKey()) {
        violations.push(...checkRunsOnce(key, calls, limits), ...checkOneAnswer(key, calls, limits), ...checkKeyReuse(key, calls, limits));
        violations.push(...checkAfterHealing(key, calls, history));
    }
    for (const call of history.calls.values()) {
        violations.push(...checkCall(call, history));
    }
    return violations;
}

/** `doubled`: a key ran twice. */
function checkRunsOnce(key: string, calls: readonly CallHistory[], limits: CheckLimits): Violation[] {
    if (calls.some(call => call.called.upstreamDeduplicates)) {
        return [];
    }
    const runs = calls.flatMap(call => call.ran).sort((left, right) => left.atMs - right.atMs);
    const doubled = runs.find((run, index) => index > 0 && run.atMs - (runs[index - 1]?.atMs ?? 0) < limits.retentionMs);
    return doubled === undefined ? [] : [violation("doubled", `key ${key} ran for calls ${runs.map(run => run.callId).join(", ")}`)];
}

/** `two-answers`: callers of one key got different answers; `wrong-answer`: an answer that no run of this key and digest gave. */
function checkOneAnswer(key: string, calls: readonly CallHistory[], limits: CheckLimits): Violation[] {
    const violations: Violation[] = [];
    const given = calls.flatMap(call => call.told.map(({ told, atMs }) => ({ call, told, atMs })));
    let previous: { answer: string; atMs: number; } | undefined;
    for (const { call, told, atMs } of given.sort((left, right) => left.atMs - right.atMs)) {
        if (told.outcome !== "answered") {
            continue;
        }
        const isOwn = calls.some(other => other.called.digest === call.called.digest && other.ran.some(run => run.answer === told.answer));
        if (!isOwn) {
            violations.push(violation("wrong-answer", `call ${call.called.callId} of key ${key} got "${told.answer}"`));
        }
        if (previous !== undefined && previous.answer !== told.answer && atMs - previous.atMs < limits.retentionMs) {
            violations.push(violation("two-answers", `key ${key} gave "${previous.answer}" and "${told.answer}"`));
        }
        previous = { answer: told.answer, atMs };
    }
    return violations;
}

/** `key-reuse`: calls of one key with different digests both ran or were both answered. */
function checkKeyReuse(key: string, calls: readonly CallHistory[], limits: CheckLimits): Violation[] {
    const accepted = calls.filter(call => call.ran.length > 0 || call.told.some(({ told }) => told.outcome === "answered"));
    const first = accepted[0];
    const other = accepted.find(call =>
        call.called.digest !== first?.called.digest && Math.abs(call.called.atMs - (first?.called.atMs ?? 0)) < limits.retentionMs
    );
    return other === undefined ? [] : [violation("key-reuse", `key ${key} was accepted with two digests`)];
}

/**
 * After the last fault each key is called again. `answer-lost`: an answer that a surviving VM heard is not replayed;
 * `key-blocked`: a key whose call nobody sent still cannot be run.
 */
function checkAfterHealing(key: string, calls: readonly CallHistory[], history: BookingHistory): Violation[] {
    const before = calls.filter(call => call.called.atMs < history.healedAtMs);
    const after = calls.filter(call => call.called.atMs >= history.healedAtMs);
    const heard = before.filter(call => call.answered.length > 0 && !history.hasCrashed(call));
    const untouched = before.every(call => call.sent.length === 0 && !history.hasCrashed(call));
    const violations: Violation[] = [];
    for (const call of after) {
        const isAnswered = call.told.some(({ told }) => told.outcome === "answered");
        const isOtherDigest = before.some(other => other.sent.length > 0 && other.called.digest !== call.called.digest);
        if (heard.length > 0 && !isAnswered && !isOtherDigest) {
            violations.push(
                violation("answer-lost", `key ${key} was answered for call ${heard[0]?.called.callId}, call ${call.called.callId} is not`),
            );
        }
        if (untouched && !isAnswered) {
            violations.push(violation("key-blocked", `key ${key} was never sent, and call ${call.called.callId} cannot run it`));
        }
    }
    return violations;
}

/** `false-not-run`, `sent-after-told`, `sent-twice`, `told-twice` and `never-told`: promises about a single call. */
function checkCall(call: CallHistory, history: BookingHistory): Violation[] {
    const violations: Violation[] = [];
    const { callId } = call.called;
    const toldNotRun = call.told.some(({ told }) => told.outcome === "not-run");
    if (toldNotRun && call.ran.length > 0) {
        violations.push(violation("false-not-run", `call ${callId} ran and was told not-run`));
    }
    const settled = call.told[0];
    if (settled !== undefined && call.sent.some(sent => sent.atMs > settled.atMs)) {
        violations.push(violation("sent-after-told", `call ${callId} was sent after its caller was told ${settled.told.outcome}`));
    }
    if (call.sent.length > 1) {
        violations.push(violation("sent-twice", `call ${callId} was sent ${call.sent.length} times`));
    }
    if (call.told.length > 1) {
        violations.push(violation("told-twice", `call ${callId} was told ${call.told.length} times`));
    }
    if (call.told.length === 0 && !history.hasCrashed(call) && history.healedAtMs < Infinity) {
        violations.push(violation("never-told", `call ${callId} was told nothing`));
    }
    return violations;
}

function violation(invariant: string, detail: string): Violation {
    return { invariant, detail };
}
