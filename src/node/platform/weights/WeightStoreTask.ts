import { Agent, request } from "undici";
import type { Scheduler } from "../../../core/util/Scheduler.js";
import { WeightStoreLimits } from "../../../schema/platform/WeightStoreLimits.js";
import { createLogger } from "../../logs/createLogger.js";

const log = createLogger("weights");
const periodMs = 5000;
const maxAnswerBytes = 64 * 1024;

/** Polls what the weight store allows. Before the first answer, and while the store is away, one load at a time is ordered. */
export class WeightStoreTask {
    maxConcurrentLoads = 1;
    private isPolling = false;
    private isFailing = false;
    private readonly dispatcher: Agent;

    constructor(private readonly url: string, private readonly scheduler: Scheduler, private readonly timeoutMs = 2000) {
        this.dispatcher = new Agent({ connect: { timeout: timeoutMs }, maxResponseSize: maxAnswerBytes });
    }

    /** Polls at once and then every few seconds, until `signal` aborts. */
    start(signal: AbortSignal): void {
        signal.addEventListener("abort", () => void this.dispatcher.destroy(), { once: true });
        void this.poll(signal);
        this.scheduler.every(periodMs, () => void this.poll(signal), signal);
    }

    private async poll(signal: AbortSignal): Promise<void> {
        if (this.isPolling || signal.aborted) {
            return;
        }
        this.isPolling = true;
        try {
            this.maxConcurrentLoads = (await this.read(signal)).maxConcurrentLoads;
            this.isFailing = false;
        }
        catch (error) {
            if (!this.isFailing && !signal.aborted) {
                log("the weight store does not tell its limits; one load at a time is ordered", { error: String(error) });
            }
            this.isFailing = true;
            this.maxConcurrentLoads = 1;
        }
        this.isPolling = false;
    }

    /** Each call has a connection of its own, so that none can have gone silent. */
    private async read(signal: AbortSignal): Promise<WeightStoreLimits> {
        const response = await request(new URL("/limits", this.url), {
            dispatcher: this.dispatcher,
            reset: true,
            signal: AbortSignal.any([signal, AbortSignal.timeout(this.timeoutMs)]),
        });
        return WeightStoreLimits.parse(await response.body.json());
    }
}
