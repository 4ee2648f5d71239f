import type { ServerResponse } from "node:http";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { timerAbortReason } from "../../core/util/timerAbortReason.js";

/** Resolves when the response buffer has drained or the caller has disconnected. A caller that does not drain it within `stallTimeoutMs` is disconnected. */
export function waitUntilWritable(response: ServerResponse, scheduler: Scheduler, stallTimeoutMs: number): Promise<void> {
    return new Promise(resolve => {
        const timerCancellation = new AbortController();
        const settle = () => {
            timerCancellation.abort(timerAbortReason);
            response.off("drain", settle);
            response.off("close", settle);
            resolve();
        };
        response.on("drain", settle);
        response.on("close", settle);
        scheduler.after(stallTimeoutMs, () => {
            response.destroy();
        }, timerCancellation.signal);
        if (response.destroyed) {
            settle();
        }
    });
}
