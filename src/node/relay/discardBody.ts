import type { IncomingMessage } from "node:http";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { collectReceivedBuffers } from "../caller/collectReceivedBuffers.js";

/** Reads a body without keeping it; resolves at its end, or when it is larger than `maxBytes` or takes longer than `maxMs`. */
export function discardBody(incoming: IncomingMessage, maxBytes: number, maxMs: number, scheduler: Scheduler): Promise<void> {
    const controller = new AbortController();
    return new Promise<void>(resolve => {
        let discardedBytes = 0;
        const onData = (bytes: Buffer) => {
            discardedBytes += bytes.length;
            collectReceivedBuffers(bytes.length);
            if (discardedBytes > maxBytes) {
                finish();
            }
        };
        const finish = () => {
            controller.abort();
            incoming.off("data", onData);
            resolve();
        };
        if (incoming.readableEnded || incoming.destroyed || Number(incoming.headers["content-length"] ?? 0) > maxBytes) {
            finish();
            return;
        }
        for (const event of ["end", "close", "error"]) {
            incoming.once(event, finish);
        }
        scheduler.after(maxMs, finish, controller.signal);
        incoming.on("data", onData);
    });
}
