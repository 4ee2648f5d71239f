import type { BookingEvent } from "./BookingEvent.js";
import { BookingHistory } from "./BookingHistory.js";
import type { CheckLimits } from "./CheckLimits.js";
import { checkReadBack } from "./checkReadBack.js";
import type { Violation } from "./Violation.js";

type CallHistory = BookingHistory["calls"] extends Map<number, infer T> ? T : never;

/** Returns every violated invariant of keyed calls in a recorded history. */
export function checkBookings(events: readonly BookingEvent[], limits: CheckLimits): Violation[] {
    const history = new BookingHistory(events);
    const violations = [...checkReadBack(events, limits)];
    for (const [key, calls] of history.byKey()) {
        violations.push(...checkRunsOnce(key, calls, limits), ...checkOneAnswer(key, calls, limits), ...checkKeyReuse(key, calls, limits));
        violations.push(...checkAfterFaults(key, calls, history));
    }
    for (const call of history.calls.values()) {
        violations.push(...checkCall(call, history));
    }
    return violations;
}

/** `doubled`: a key ran twice within its retention. */
function checkRunsOnce(key: string, calls: readonly CallHistory[], limits: CheckLimits): Violation[] {
    if (calls.some(call => call.called.upstreamDeduplicates)) {
        return [];
    }
    const runs = calls.flatMap(call => call.ran).sort((left, right) => left.atMs - right.atMs);
    const doubled = runs.find((run, index) => index > 0 && run.atMs - (runs[index - 1]?.atMs ?? 0) < limits.retentionMs);
    return doubled === undefined ? [] : [violation("doubled", `key ${key} ran for calls ${runs.map(run => run.callId).join(", ")}`)];
}

/** `two-answers`: callers of one key got different answers; `wrong-answer`: no run of the key and digest gave the answer. */
function checkOneAnswer(key: string, calls: readonly CallHistory[], limits: CheckLimits): Violation[] {
    const violations: Violation[] = [];
    const given = calls.flatMap(call => call.told.map(({ told, atMs }) => ({ call, told, atMs })));
    let previous: { answer: string; atMs: number; } | undefined;
    for (const { call, told, atMs } of given.sort((left, right) => left.atMs - right.atMs)) {
        if (told.outcome !== "answered") {
            continue;
        }
        const isFromOwnRun = calls.some(other =>
            other.called.digest === call.called.digest && other.ran.some(run => run.answer === told.answer)
        );
        if (!isFromOwnRun) {
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
    return other === undefined ? [] : [violation("key-reuse", `key ${key} ran or was answered with two different digests`)];
}

/**
 * Each key is called again after all faults are cleared. `answer-lost`: an answer that a surviving VM received is not replayed;
 * `key-blocked`: a key whose calls were never sent cannot run.
 */
function checkAfterFaults(key: string, calls: readonly CallHistory[], history: BookingHistory): Violation[] {
    const before = calls.filter(call => call.called.atMs < history.healedAtMs);
    const after = calls.filter(call => call.called.atMs >= history.healedAtMs);
    const receivedCalls = before.filter(call => call.answered.length > 0 && !history.hasCrashed(call));
    const isNeverSent = before.every(call => call.sent.length === 0 && !history.hasCrashed(call));
    const violations: Violation[] = [];
    for (const call of after) {
        const isAnswered = call.told.some(({ told }) => told.outcome === "answered");
        const isOtherDigest = before.some(other => other.sent.length > 0 && other.called.digest !== call.called.digest);
        if (receivedCalls.length > 0 && !isAnswered && !isOtherDigest) {
            violations.push(
                violation(
                    "answer-lost",
                    `key ${key} was answered for call ${receivedCalls[0]?.called.callId}, but call ${call.called.callId} was not`,
                ),
            );
        }
        if (isNeverSent && !isAnswered) {
            violations.push(violation("key-blocked", `key ${key} was never sent, but call ${call.called.callId} was not answered`));
        }
    }
    return violations;
}

/** `false-not-run`, `sent-after-told`, `sent-twice`, `told-twice` and `never-told`: invariants of a single call. */
function checkCall(call: CallHistory, history: BookingHistory): Violation[] {
    const violations: Violation[] = [];
    const { callId } = call.called;
    const wasToldNotRun = call.told.some(({ told }) => told.outcome === "not-run");
    if (wasToldNotRun && call.ran.length > 0) {
        violations.push(violation("false-not-run", `call ${callId} ran, but its caller was told not-run`));
    }
    const firstTold = call.told[0];
    if (firstTold !== undefined && call.sent.some(sent => sent.atMs > firstTold.atMs)) {
        violations.push(violation("sent-after-told", `call ${callId} was sent after its caller was told ${firstTold.told.outcome}`));
    }
    if (call.sent.length > 1) {
        violations.push(violation("sent-twice", `call ${callId} was sent ${call.sent.length} times`));
    }
    if (call.told.length > 1) {
        violations.push(violation("told-twice", `the caller of call ${callId} was told ${call.told.length} results`));
    }
    if (call.told.length === 0 && !history.hasCrashed(call) && history.healedAtMs < Infinity) {
        violations.push(violation("never-told", `the caller of call ${callId} was told no result`));
    }
    return violations;
}

function violation(invariant: string, detail: string): Violation {
    return { invariant, detail };
}
