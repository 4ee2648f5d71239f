import type { ServerResponse } from "node:http";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { timerAbortReason } from "../../core/util/timerAbortReason.js";

/** Settles when the caller has taken what was written, or has gone. A caller that takes nothing for `stallLimitMs` is disconnected. */
export function waitUntilWritable(response: ServerResponse, scheduler: Scheduler, stallLimitMs: number): Promise<void> {
    return new Promise(resolve => {
        const limit = new AbortController();
        const settle = () => {
            limit.abort(timerAbortReason);
            response.off("drain", settle);
            response.off("close", settle);
            resolve();
        };
        response.on("drain", settle);
        response.on("close", settle);
        scheduler.after(stallLimitMs, () => {
            response.destroy();
        }, limit.signal);
        if (response.destroyed) {
            settle();
        }
    });
}
