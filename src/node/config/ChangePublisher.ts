import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { ConfigFoldResult } from "../../core/config/ConfigFoldResult.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { ConfigChange } from "../../schema/config/ConfigChange.js";
import type { ApplyError } from "../services/ApplyError.js";
import type { LogClient } from "../services/LogClient.js";
import { sleepFor } from "./sleepFor.js";

const publishRetryMs = 200;
const readBackMs = 500;
const verdictCheckMs = 20;

interface ChangePublisherOptions {
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly stream: string;
}

/**
 * Appends changes until they are read back from the stream. The first fold result of a change is its verdict: every later
 * landing of the same record is rejected by the fold, so that an append with a lost answer may simply be made again.
 */
export class ChangePublisher {
    private readonly verdicts = new Map<string, ConfigFoldResult | undefined>();

    constructor(private readonly options: ChangePublisherOptions) {}

    /** Takes what the fold did with one record. */
    observe(result: ConfigFoldResult): void {
        const { changeId } = result;
        if (changeId !== undefined && this.verdicts.has(changeId) && this.verdicts.get(changeId) === undefined) {
            this.verdicts.set(changeId, result);
        }
    }

    async publish(change: ConfigChange, deadlineMs: number, signal: AbortSignal): Promise<Result<ConfigFoldResult, ApplyError>> {
        const { log, scheduler, stream } = this.options;
        const payload = new TextEncoder().encode(JSON.stringify(change));
        this.verdicts.set(change.changeId, undefined);
        let mayHaveLanded = false;
        while (this.verdicts.get(change.changeId) === undefined && scheduler.nowMs() < deadlineMs) {
            const appended = await log.append(stream, payload, signal);
            mayHaveLanded ||= appended.isOk() || appended.error.kind !== "not-appended";
            const waitMs = appended.isOk() ? Infinity : mayHaveLanded ? readBackMs : publishRetryMs;
            await this.awaitVerdict(change.changeId, Math.min(deadlineMs, scheduler.nowMs() + waitMs));
        }
        const verdict = this.verdicts.get(change.changeId);
        this.verdicts.delete(change.changeId);
        return verdict === undefined ? err(mayHaveLanded ? unknown(change.changeId) : notPublished()) : ok(verdict);
    }

    private async awaitVerdict(changeId: string, untilMs: number): Promise<void> {
        while (this.verdicts.get(changeId) === undefined && this.options.scheduler.nowMs() < untilMs) {
            await sleepFor(this.options.scheduler, verdictCheckMs);
        }
    }
}

function unknown(changeId: string): ApplyError {
    return { kind: "unknown", message: `change ${changeId} may take effect or not; read the objects again before repeating it` };
}

function notPublished(): ApplyError {
    return { kind: "not-published", message: "the platform's log took no append; repeat the change when it is back" };
}
