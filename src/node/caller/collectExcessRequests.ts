import { callerLoadLimits } from "../../core/relay/callerLoadLimits.js";
import { collectGarbage } from "./collectGarbage.js";

let requestsSinceCollection = 0;

/**
 * Counts a request that was sent ahead beyond what may wait on its connection, and now and then collects what such requests have left. They live just
 * long enough to leave the young generation, and the whole heap is collected only after it has grown by much.
 */
export function collectExcessRequests(): void {
    requestsSinceCollection++;
    if (requestsSinceCollection >= callerLoadLimits.collectAfterExcessRequests) {
        requestsSinceCollection = 0;
        setImmediate(() => {
            collectGarbage("major");
        });
    }
}
