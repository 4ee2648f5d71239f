import { Agent, request } from "undici";
import type { Scheduler } from "../../../core/util/Scheduler.js";
import { WeightStoreLimits } from "../../../schema/platform/WeightStoreLimits.js";
import { createLogger } from "../../logs/createLogger.js";

const log = createLogger("weights");
const periodMs = 5000;
const maxResponseBytes = 64 * 1024;

/** Polls the limits of the weight store. Until the first response and while the store is unavailable, the limit is one load. */
export class WeightStoreTask {
    /** Maximum number of concurrent model loads. */
    maxConcurrentLoads = 1;
    private isPolling = false;
    private isFailing = false;
    private readonly agent: Agent;

    constructor(private readonly url: string, private readonly scheduler: Scheduler, private readonly timeoutMs = 2000) {
        this.agent = new Agent({ connect: { timeout: timeoutMs }, maxResponseSize: maxResponseBytes });
    }

    /** Polls immediately and then every 5 s until `signal` aborts. */
    start(signal: AbortSignal): void {
        signal.addEventListener("abort", () => void this.agent.destroy(), { once: true });
        void this.poll(signal);
        this.scheduler.every(periodMs, () => void this.poll(signal), signal);
    }

    private async poll(signal: AbortSignal): Promise<void> {
        if (this.isPolling || signal.aborted) {
            return;
        }
        this.isPolling = true;
        try {
            this.maxConcurrentLoads = (await this.fetchLimits(signal)).maxConcurrentLoads;
            this.isFailing = false;
        }
        catch (error) {
            if (!this.isFailing && !signal.aborted) {
                log("cannot read the limits of the weight store; limiting to one model load at a time", { error: String(error) });
            }
            this.isFailing = true;
            this.maxConcurrentLoads = 1;
        }
        this.isPolling = false;
    }

    /** Reads the limits over a new connection, as an idle one can fail without notice. */
    private async fetchLimits(signal: AbortSignal): Promise<WeightStoreLimits> {
        const response = await request(new URL("/limits", this.url), {
            dispatcher: this.agent,
            reset: true,
            signal: AbortSignal.any([signal, AbortSignal.timeout(this.timeoutMs)]),
        });
        return WeightStoreLimits.parse(await response.body.json());
    }
}
