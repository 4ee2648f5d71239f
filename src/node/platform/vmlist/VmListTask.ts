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

/** Polls the platform's VM list and keeps the last list, which stays in use while the platform is unavailable. */
export class VmListTask implements LeavingUpstreams {
    /** VMs of the last list. */
    vms: VmList["vms"] = [];
    private leavingUpstreamIds: ReadonlySet<string> = new Set();
    private readonly listeners = new Set<(leaving: ReadonlySet<string>) => void>();
    private isPolling = false;
    private isFailing = false;

    constructor(private readonly options: VmListTaskOptions) {}

    /** Polls immediately and then every `periodMs` (1000 by default) until `signal` aborts. */
    start(signal: AbortSignal): void {
        const poll = () => void this.poll(signal);
        poll();
        this.options.scheduler.every(this.options.periodMs ?? 1000, poll, signal);
    }

    isLeaving(upstreamId: string): boolean {
        return this.leavingUpstreamIds.has(upstreamId);
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
        const result = await this.options.client.fetch(signal);
        this.isPolling = false;
        if (result.isErr()) {
            if (!this.isFailing && !signal.aborted) {
                log(result.error.message);
            }
            this.isFailing = true;
            return;
        }
        this.isFailing = false;
        this.vms = result.value.vms;
        this.setLeaving(new Set(result.value.upstreams.filter(upstream => upstream.leaving).map(upstream => upstream.id)));
    }

    private setLeaving(leaving: ReadonlySet<string>): void {
        const isSame = leaving.size === this.leavingUpstreamIds.size && [...leaving].every(id => this.leavingUpstreamIds.has(id));
        if (isSame) {
            return;
        }
        this.leavingUpstreamIds = leaving;
        log("the platform's list of leaving upstreams changed", { upstreams: [...leaving].join(" ") });
        for (const listener of this.listeners) {
            listener(leaving);
        }
    }
}
