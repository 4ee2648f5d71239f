import type { IncomingMessage, ServerResponse } from "node:http";
import { callerLoadLimits as limits } from "../../core/relay/callerLoadLimits.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { collectReceivedBuffers } from "../caller/collectReceivedBuffers.js";

/**
 * Discards the rest of a body whose refusal is `outgoing`. Closing the connection while the caller still sends would reset it, and the caller could
 * lose the refusal; the connection is closed only when what follows the refusal is too large, takes too long or stops arriving. Until the refusal has
 * been written, earlier calls on the connection may be running, and a body that is too large is only no longer read.
 */
export function drainBody(incoming: IncomingMessage, outgoing: ServerResponse, scheduler: Scheduler): void {
    if (incoming.complete || incoming.destroyed) {
        incoming.resume();
        return;
    }
    const controller = new AbortController();
    let drainedBytes = 0;
    let lastBytesMs = scheduler.nowMs();
    const close = () => {
        controller.abort();
        incoming.socket.destroy();
    };
    incoming.on("data", (bytes: Buffer) => {
        drainedBytes += bytes.length;
        collectReceivedBuffers(bytes.length);
        lastBytesMs = scheduler.nowMs();
        if (drainedBytes > limits.drainBytes) {
            if (outgoing.writableFinished) {
                close();
            }
            else {
                incoming.pause();
            }
        }
    });
    for (const event of ["end", "close", "error"]) {
        incoming.once(event, () => {
            controller.abort();
        });
    }
    const limit = () => {
        if (controller.signal.aborted) {
            return;
        }
        const startedMs = scheduler.nowMs();
        lastBytesMs = startedMs;
        drainedBytes = 0;
        const check = () => {
            const nowMs = scheduler.nowMs();
            if (nowMs - lastBytesMs >= limits.drainIdleMs || nowMs - startedMs >= limits.drainMs) {
                close();
                return;
            }
            scheduler.after(limits.drainIdleMs, check, controller.signal);
        };
        scheduler.after(limits.drainIdleMs, check, controller.signal);
        incoming.resume();
    };
    if (outgoing.writableFinished) {
        limit();
        return;
    }
    outgoing.once("finish", limit);
    incoming.resume();
}
