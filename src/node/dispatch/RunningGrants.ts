import { ProgressReporter } from "../../core/dispatch/ProgressReporter.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { GrantEnd } from "../../schema/peer/GrantEnd.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { Ticket } from "../../schema/peer/Ticket.js";
import type { Grant } from "../services/Grant.js";
import type { MessageSender } from "./MessageSender.js";
import type { RunningGrant } from "./RunningGrant.js";

type GrantMessage = Extract<PeerMessage, { type: "ticketGrant"; }>;
type AdoptedGrant = Extract<PeerMessage, { type: "grantAdopt"; }>["grants"][number];

/** The grants in use by requests of this VM. */
export class RunningGrants {
    private readonly grants = new Map<string, RunningGrant>();

    constructor(private readonly scheduler: Scheduler, private readonly send: MessageSender) {}

    add(dispatcher: string, message: GrantMessage, ticket: Ticket, upstream: Upstream): Grant {
        const running: RunningGrant = {
            grantId: message.grantId,
            shard: message.shard,
            upstreamId: upstream.id,
            ticket,
            startedMs: this.scheduler.nowMs(),
            dispatcherVms: new Set([dispatcher]),
            preemption: new AbortController(),
            reporter: new ProgressReporter(this.scheduler.nowMs()),
        };
        this.grants.set(running.grantId, running);
        return {
            upstream,
            priority: message.priority,
            preemptionSignal: running.preemption.signal,
            reportProgress: (outputTokens, firstTokenMs) => {
                this.sendProgress(running, outputTokens, firstTokenMs);
            },
            end: end => {
                this.endGrant(running, end);
            },
        };
    }

    preempt(grantId: string, reason: string | undefined): void {
        this.grants.get(grantId)?.preemption.abort(reason);
    }

    /** Sends each grant to the dispatcher that `selectDispatcher` returns for its shard, unless that one already counts it as in flight. */
    announceGrants(selectDispatcher: (shard: string) => string): void {
        const batches = new Map<string, { vm: string; shard: string; grants: AdoptedGrant[]; }>();
        for (const running of this.grants.values()) {
            const vm = selectDispatcher(running.shard);
            if (running.dispatcherVms.has(vm)) {
                continue;
            }
            running.dispatcherVms.add(vm);
            const key = `${vm}\n${running.shard}`;
            const batch = batches.get(key) ?? { vm, shard: running.shard, grants: [] };
            batch.grants.push(this.toAdoptedGrant(running));
            batches.set(key, batch);
        }
        for (const { vm, shard, grants } of batches.values()) {
            this.send(vm, { type: "grantAdopt", shard, grants });
        }
    }

    /** Sends keep-alives for all grants, one message per shard and dispatcher. */
    keepAlive(): void {
        const batches = new Map<string, { vm: string; shard: string; grantIds: string[]; }>();
        for (const running of this.grants.values()) {
            for (const vm of running.dispatcherVms) {
                const key = `${vm}\n${running.shard}`;
                const batch = batches.get(key) ?? { vm, shard: running.shard, grantIds: [] };
                batch.grantIds.push(running.grantId);
                batches.set(key, batch);
            }
        }
        for (const { vm, shard, grantIds } of batches.values()) {
            this.send(vm, { type: "grantKeepAlive", shard, grantIds });
        }
    }

    private toAdoptedGrant(running: RunningGrant): AdoptedGrant {
        return {
            grantId: running.grantId,
            upstreamId: running.upstreamId,
            ticket: running.ticket,
            outputTokens: running.reporter.outputTokens,
            ageMs: this.scheduler.nowMs() - running.startedMs,
        };
    }

    private sendProgress(running: RunningGrant, outputTokens: number, firstTokenMs: number): void {
        const { reporter, shard, grantId } = running;
        const newTokens = outputTokens - reporter.outputTokens;
        if (newTokens > 0 && reporter.recordTokens(newTokens, this.scheduler.nowMs())) {
            const { recentGapMs } = reporter;
            this.sendToDispatchers(running, { type: "grantProgress", shard, grantId, outputTokens, firstTokenMs, recentGapMs });
        }
    }

    private endGrant(running: RunningGrant, end: GrantEnd): void {
        if (this.grants.delete(running.grantId)) {
            this.sendToDispatchers(running, { type: "grantEnd", shard: running.shard, grantId: running.grantId, end });
        }
    }

    private sendToDispatchers(running: RunningGrant, message: PeerMessage): void {
        for (const vm of running.dispatcherVms) {
            this.send(vm, message);
        }
    }
}
