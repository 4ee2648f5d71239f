import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { ConfigFoldResult } from "../../core/config/ConfigFoldResult.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { ConfigChange } from "../../schema/config/ConfigChange.js";
import type { ApplyError } from "../services/ApplyError.js";
import type { LogClient } from "../services/LogClient.js";
import { sleepFor } from "./sleepFor.js";

const appendRetryDelayMs = 200;
const readBackTimeoutMs = 500;
const verdictCheckPeriodMs = 20;

interface ChangePublisherOptions {
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly stream: string;
}

/**
 * Appends each change until it is read back from the stream. The first fold result of a change is its verdict: the fold rejects
 * every later copy of the same record, so an append whose response was lost can be retried.
 */
export class ChangePublisher {
    private readonly verdicts = new Map<string, ConfigFoldResult | undefined>();

    constructor(private readonly options: ChangePublisherOptions) {}

    /** Records the fold result of one record if a `publish` call waits for it. */
    observe(result: ConfigFoldResult): void {
        const { changeId } = result;
        if (changeId !== undefined && this.verdicts.has(changeId) && this.verdicts.get(changeId) === undefined) {
            this.verdicts.set(changeId, result);
        }
    }

    /** Resolves with the verdict on the change, or with an error if there is none by `deadlineMs`. */
    async publish(change: ConfigChange, deadlineMs: number, signal: AbortSignal): Promise<Result<ConfigFoldResult, ApplyError>> {
        const { log, scheduler, stream } = this.options;
        const payload = new TextEncoder().encode(JSON.stringify(change));
        this.verdicts.set(change.changeId, undefined);
        let mayBeAppended = false;
        while (this.verdicts.get(change.changeId) === undefined && scheduler.nowMs() < deadlineMs) {
            const appended = await log.append(stream, payload, signal);
            mayBeAppended ||= appended.isOk() || appended.error.kind !== "not-appended";
            const waitMs = appended.isOk() ? Infinity : mayBeAppended ? readBackTimeoutMs : appendRetryDelayMs;
            await this.awaitVerdict(change.changeId, Math.min(deadlineMs, scheduler.nowMs() + waitMs));
        }
        const verdict = this.verdicts.get(change.changeId);
        this.verdicts.delete(change.changeId);
        return verdict === undefined
            ? err(mayBeAppended ? createUnknownOutcomeError(change.changeId) : createNotPublishedError())
            : ok(verdict);
    }

    private async awaitVerdict(changeId: string, deadlineMs: number): Promise<void> {
        while (this.verdicts.get(changeId) === undefined && this.options.scheduler.nowMs() < deadlineMs) {
            await sleepFor(this.options.scheduler, verdictCheckPeriodMs);
        }
    }
}

function createUnknownOutcomeError(changeId: string): ApplyError {
    return {
        kind: "unknown",
        message: `outcome of change ${changeId} is unknown, it may still take effect; read the objects again before retrying`,
    };
}

function createNotPublishedError(): ApplyError {
    return {
        kind: "not-published",
        message: "change was not published: the platform's log accepted no append in time; retry when the log is available",
    };
}
