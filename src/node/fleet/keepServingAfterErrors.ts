import type { EventEmitter } from "node:events";
import type { Clock } from "../../core/util/Clock.js";
import { createLogger } from "../logs/createLogger.js";

const log = createLogger("vm");

/** More exceptions than this within the window show a fault that a restart may end. */
const maxErrors = 20;
const windowMs = 60_000;

interface KeepServingOptions {
    /** Source of the `uncaughtException` events, which rejections that nothing handles cause too. */
    readonly process: Pick<EventEmitter, "on" | "off">;
    readonly clock: Clock;
    /** Called once when exceptions come too often; the VM should drain and end. */
    readonly onTooMany: () => void;
}

/**
 * Keeps a process running after an exception that nothing has caught, until `signal` aborts: one faulty message or call must not cut all
 * the others in flight.
 */
export function keepServingAfterErrors({ process, clock, onTooMany }: KeepServingOptions, signal: AbortSignal): void {
    let errorTimesMs: number[] = [];
    let isEnding = false;
    const onError = (error: unknown) => {
        const nowMs = clock.nowMs();
        errorTimesMs = [...errorTimesMs.filter(timeMs => timeMs > nowMs - windowMs), nowMs];
        const isTooMany = errorTimesMs.length > maxErrors;
        log(`unexpected error; ${isTooMany ? "draining this VM, as such errors come too often" : "this VM goes on serving"}`, {
            error: error instanceof Error ? error.stack : String(error),
            errorsInLastMinute: errorTimesMs.length,
        });
        if (isTooMany && !isEnding) {
            isEnding = true;
            onTooMany();
        }
    };
    process.on("uncaughtException", onError);
    signal.addEventListener("abort", () => process.off("uncaughtException", onError), { once: true });
}
