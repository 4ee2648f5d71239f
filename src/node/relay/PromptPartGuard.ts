import type { EngineCrash } from "../../core/quarantine/EngineCrash.js";
import type { PartAdmission } from "../../core/quarantine/PartAdmission.js";
import { PromptPartQuarantine } from "../../core/quarantine/PromptPartQuarantine.js";
import type { WaitingCall } from "../../core/quarantine/WaitingCall.js";
import { choosePlacementVm } from "../../core/relay/choosePlacementVm.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { PromptPartNews } from "../../schema/peer/PromptPartNews.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { createLogger } from "../logs/createLogger.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";
import { EngineCrashDetector } from "./EngineCrashDetector.js";

const log = createLogger("quarantine");
/** Limits on one message; calls and parts beyond them are left out. */
const maxReportedCalls = 64;
const maxReportedParts = 16;

interface PromptPartGuardOptions {
    readonly vm: string;
    readonly links: PeerLinks & { readonly onLinkOpened: (listener: (vm: string) => void, signal: AbortSignal) => void; };
    readonly membership: Pick<MembershipService, "members">;
    readonly scheduler: Scheduler;
    /** Share by which this VM lengthens the delays of probes, so that VMs seldom probe at the same moment. */
    readonly probeJitter: number;
    /** Whether an upstream refuses a new connection, as its process has ended. */
    readonly isDown: (upstream: RelayUpstream) => Promise<boolean>;
}

/** Keeps calls with prompt parts that crash engines from further engines, on this VM and, by what it tells them, on the others. */
export class PromptPartGuard {
    private readonly quarantine: PromptPartQuarantine;
    private readonly crashDetector: EngineCrashDetector;
    /** Called when a part is quarantined, by part. */
    private readonly listeners = new Map<string, Set<() => void>>();
    private signal: AbortSignal = new AbortController().signal;

    constructor(private readonly options: PromptPartGuardOptions) {
        this.quarantine = new PromptPartQuarantine(options.probeJitter);
        this.crashDetector = new EngineCrashDetector({
            scheduler: options.scheduler,
            isDown: options.isDown,
            onCrash: (upstream, calls, crashedMs) => {
                this.reportCrash(upstream, calls, crashedMs);
            },
        });
    }

    start(signal: AbortSignal): void {
        const { links } = this.options;
        this.signal = signal;
        links.onMessage("promptParts", (from, { news, isToBeRelayed }) => {
            const isNews = this.apply(news, from);
            if (isToBeRelayed && isNews) {
                this.sendToAll(news, from);
            }
            return undefined;
        }, signal);
        links.onLinkOpened(vm => {
            if (this.quarantine.quarantinedCount > 0) {
                links.send(vm, { type: "promptParts", news: this.buildSnapshot(), isToBeRelayed: false });
            }
        }, signal);
    }

    get quarantinedCount(): number {
        return this.quarantine.quarantinedCount;
    }

    /** Whether calls with these parts are kept from engines, apart from probes. */
    isQuarantined(partIds: readonly string[]): boolean {
        return partIds.some(id => this.quarantine.isQuarantined(id));
    }

    /** Decides whether a call may be sent to an engine, and tells the other VMs of a probe. */
    admit(partIds: readonly string[], service: string, requestId: string): PartAdmission {
        const admission = this.quarantine.admit(partIds, this.options.scheduler.nowMs());
        if (admission.kind === "probe") {
            log("probing whether a quarantined prompt part still crashes upstreams", { part: admission.partId, requestId });
            this.publish(service, { kind: "probe", partId: admission.partId });
        }
        return admission;
    }

    /** Calls `onQuarantined` when one of the parts is quarantined, until `signal` aborts. */
    watch(partIds: readonly string[], onQuarantined: () => void, signal: AbortSignal): void {
        for (const id of partIds) {
            const listeners = this.listeners.get(id) ?? new Set();
            this.listeners.set(id, listeners.add(onQuarantined));
        }
        signal.addEventListener("abort", () => {
            for (const id of partIds) {
                const listeners = this.listeners.get(id);
                listeners?.delete(onQuarantined);
                if (listeners?.size === 0) {
                    this.listeners.delete(id);
                }
            }
        }, { once: true });
    }

    /** Records that an engine has begun to answer a call with these parts. */
    recordAnswer(partIds: readonly string[], service: string, begunMs: number): void {
        const cleared = this.quarantine.recordAnswer(partIds, begunMs);
        if (cleared.length > 0) {
            log("prompt parts cleared: an upstream has begun to answer a call with them", { parts: cleared });
            this.publish(service, { kind: "answer", partIds: [...cleared], begunMsAgo: this.options.scheduler.nowMs() - begunMs });
        }
    }

    /**
     * Records that a call broke before its first event. Resolves when the call can be retried: at once, unless its parts are suspected of having
     * crashed another engine before.
     */
    async recordBrokenCall(upstream: RelayUpstream, call: WaitingCall): Promise<void> {
        const isSuspected = call.partIds.some(id => this.quarantine.isSuspected(id));
        const isKnown = this.crashDetector.recordBrokenCall(upstream, call, this.signal);
        if (isSuspected) {
            await isKnown;
        }
    }

    private reportCrash(upstream: RelayUpstream, calls: readonly WaitingCall[], crashedMs: number): void {
        const nowMs = this.options.scheduler.nowMs();
        const news: PromptPartNews = {
            kind: "crash",
            engineKey: `${upstream.id}/${upstream.startedWallMs}`,
            crashedMsAgo: nowMs - crashedMs,
            calls: calls.slice(0, maxReportedCalls).map(({ partIds, sentMs }) => ({
                partIds: partIds.slice(0, maxReportedParts),
                sentMsAgo: nowMs - sentMs,
            })),
        };
        this.apply(news, this.options.vm);
        this.publish(upstream.service, news);
    }

    /** Tells the other VMs. In a large fleet the placement VM of the service passes the news on, as it has links to all. */
    private publish(service: string, news: PromptPartNews): void {
        const { vm, links, membership } = this.options;
        const placementVm = choosePlacementVm(service, membership.members);
        if (
            placementVm === undefined || placementVm === vm || !links.send(placementVm, { type: "promptParts", news, isToBeRelayed: true })
        ) {
            this.sendToAll(news, vm);
        }
    }

    private sendToAll(news: PromptPartNews, origin: string): void {
        const { vm, links, membership } = this.options;
        for (const member of membership.members) {
            if (member.vm !== vm && member.vm !== origin) {
                links.send(member.vm, { type: "promptParts", news, isToBeRelayed: false });
            }
        }
    }

    /** Returns whether there may be other VMs that do not know this yet: not for an answer that clears nothing here. */
    private apply(news: PromptPartNews, from: string): boolean {
        const nowMs = this.options.scheduler.nowMs();
        switch (news.kind) {
            case "crash":
                this.applyCrash({
                    engineKey: news.engineKey,
                    crashedMs: nowMs - news.crashedMsAgo,
                    calls: news.calls.map(({ partIds, sentMsAgo }) => ({ partIds, sentMs: nowMs - sentMsAgo })),
                }, from);
                break;
            case "answer": {
                const cleared = this.quarantine.recordAnswer(news.partIds, nowMs - news.begunMsAgo);
                if (cleared.length > 0) {
                    log("prompt parts cleared: another VM has seen an answer", { parts: cleared, vm: from });
                }
                return cleared.length > 0;
            }
            case "probe":
                this.quarantine.recordProbe(news.partId, nowMs);
                break;
            case "snapshot": {
                const records = news.parts.map(({ partId, lastCrashMsAgo, quarantinedMsAgo, ...counts }) =>
                    [partId, {
                        ...counts,
                        lastCrashMs: nowMs - lastCrashMsAgo,
                        quarantinedMs: nowMs - quarantinedMsAgo,
                        lastRequestedMs: nowMs,
                    }] as const
                );
                const { added, answeredMs } = this.quarantine.applySnapshot({
                    nextProbeMs: nowMs + news.nextProbeInMs,
                    records: new Map(records),
                });
                this.notify(added, { vm: from });
                // The sender was cut off when these parts were cleared.
                for (const [partId, begunMs] of answeredMs) {
                    const answer: PromptPartNews = { kind: "answer", partIds: [partId], begunMsAgo: nowMs - begunMs };
                    this.options.links.send(from, { type: "promptParts", news: answer, isToBeRelayed: false });
                }
                break;
            }
        }
        return true;
    }

    private applyCrash(crash: EngineCrash, from: string): void {
        log("upstream crashed; calls that waited there for their first event are suspected", {
            upstream: crash.engineKey,
            vm: from,
            calls: crash.calls.map(call => call.partIds.join(",")),
        });
        const quarantined = this.quarantine.recordCrash(crash, this.options.scheduler.nowMs());
        this.notify(quarantined, { upstream: crash.engineKey, vm: from });
    }

    private notify(quarantinedIds: readonly string[], fields: Readonly<Record<string, string>>): void {
        for (const part of quarantinedIds) {
            log("prompt part quarantined; refusing calls with it until a probe is answered", { part, ...fields });
            for (const listener of [...this.listeners.get(part) ?? []]) {
                listener();
            }
        }
    }

    private buildSnapshot(): PromptPartNews {
        const nowMs = this.options.scheduler.nowMs();
        const { nextProbeMs, records } = this.quarantine.takeSnapshot();
        return {
            kind: "snapshot",
            nextProbeInMs: Math.max(0, nextProbeMs - nowMs),
            parts: [...records].map(([partId, { crashes, failedProbes, lastEngineKey, lastCrashMs, quarantinedMs }]) => ({
                partId,
                crashes,
                failedProbes,
                lastEngineKey,
                lastCrashMsAgo: nowMs - lastCrashMs,
                quarantinedMsAgo: nowMs - (quarantinedMs ?? nowMs),
            })),
        };
    }
}
