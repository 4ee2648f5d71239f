import type { Scheduler } from "../../../core/util/Scheduler.js";
import type { VmList } from "../../../schema/platform/VmList.js";
import { createLogger } from "../../logs/createLogger.js";
import type { LeavingUpstreams } from "./LeavingUpstreams.js";
import type { VmListClient } from "./VmListClient.js";

const log = createLogger("vmlist");

interface VmListTaskOptions {
    readonly client: VmListClient;
    readonly scheduler: Scheduler;
    readonly periodMs?: number;
}

/** Polls the platform's VM list and keeps the last answer; while the platform is away, the last answer stays in use. */
export class VmListTask implements LeavingUpstreams {
    /** VMs of the last answer. */
    vms: VmList["vms"] = [];
    private leaving: ReadonlySet<string> = new Set();
    private readonly listeners = new Set<(leaving: ReadonlySet<string>) => void>();
    private isPolling = false;
    private isFailing = false;

    constructor(private readonly options: VmListTaskOptions) {}

    /** Polls at once and then every `periodMs`, until `signal` aborts. */
    start(signal: AbortSignal): void {
        const poll = () => void this.poll(signal);
        poll();
        this.options.scheduler.every(this.options.periodMs ?? 1000, poll, signal);
    }

    isLeaving(upstreamId: string): boolean {
        return this.leaving.has(upstreamId);
    }

    onChange(listener: (leaving: ReadonlySet<string>) => void, signal: AbortSignal): void {
        this.listeners.add(listener);
        signal.addEventListener("abort", () => this.listeners.delete(listener), { once: true });
    }

    private async poll(signal: AbortSignal): Promise<void> {
        if (this.isPolling || signal.aborted) {
            return;
        }
        this.isPolling = true;
        const answer = await this.options.client.fetch(signal);
        this.isPolling = false;
        if (answer.isErr()) {
            if (!this.isFailing && !signal.aborted) {
                log(answer.error.message);
            }
            this.isFailing = true;
            return;
        }
        this.isFailing = false;
        this.vms = answer.value.vms;
        this.setLeaving(new Set(answer.value.upstreams.filter(upstream => upstream.leaving).map(upstream => upstream.id)));
    }

    private setLeaving(leaving: ReadonlySet<string>): void {
        const isSame = leaving.size === this.leaving.size && [...leaving].every(id => this.leaving.has(id));
        if (isSame) {
            return;
        }
        this.leaving = leaving;
        log("upstreams leaving by the platform's list", { upstreams: [...leaving].join(" ") });
        for (const listener of this.listeners) {
            listener(leaving);
        }
    }
}
