import { choosePlacementVm } from "../../core/relay/choosePlacementVm.js";
import type { EngineSpeeds } from "../../core/relay/EngineSpeeds.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { createLogger } from "../logs/createLogger.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";

const log = createLogger("place");

interface EngineSpeedExchangeOptions {
    readonly vm: string;
    readonly engineSpeeds: EngineSpeeds;
    readonly links: Pick<PeerLinks, "send">;
    readonly membership: Pick<MembershipService, "members">;
    readonly scheduler: Scheduler;
    /** Names of the services to which calls are routed. */
    readonly services: () => readonly string[];
}

const sendIntervalMs = 2_000;
/** Speeds are sent again after this time without a change; receivers drop speeds that were not sent again for 30 s. */
const repeatIntervalMs = 10_000;

/**
 * Sends the engine speeds that this VM has learned as the placement VM of a service to the other VMs, in load reports without loads. They
 * use them when they place a call themselves, and start from them when they become the placement VM.
 */
export class EngineSpeedExchange {
    /** What was last sent to each VM, by its incarnation, for each service. */
    private readonly lastSentByRecipient = new Map<string, { readonly content: string; readonly sentMs: number; }>();

    constructor(private readonly options: EngineSpeedExchangeOptions) {}

    start(signal: AbortSignal): void {
        const { engineSpeeds, scheduler } = this.options;
        engineSpeeds.onChange(({ upstreamId, service, from, to, speed }) => {
            log("engine speed class changed", { upstream: upstreamId, service, from, to, speed: Math.round(speed * 100) / 100 });
        });
        scheduler.every(sendIntervalMs, () => {
            this.sendAll();
        }, signal);
    }

    private sendAll(): void {
        const { vm: self, engineSpeeds, links, membership, scheduler, services } = this.options;
        const nowMs = scheduler.nowMs();
        for (const [recipient, { sentMs }] of this.lastSentByRecipient) {
            if (nowMs - sentMs > 2 * repeatIntervalMs) {
                this.lastSentByRecipient.delete(recipient);
            }
        }
        for (const service of services()) {
            if (choosePlacementVm(service, membership.members) !== self) {
                continue;
            }
            const speeds = engineSpeeds.listSpeeds(service);
            const prefillSpeed = engineSpeeds.prefillSpeedOf(service);
            const learnedSpeeds = { service, prefillSpeed, speeds };
            const isPlain = speeds.length === 0 && prefillSpeed === 1;
            // Small changes of a speed make no difference to placements, so only the engines are compared.
            const content = `${prefillSpeed.toFixed(1)} ${speeds.map(([id, startedWallMs]) => `${id}/${startedWallMs}`).join(" ")}`;
            for (const { vm, incarnation } of membership.members) {
                const recipient = `${service} ${vm} ${incarnation}`;
                const lastSent = this.lastSentByRecipient.get(recipient);
                const isDue = lastSent === undefined
                    ? !isPlain
                    : lastSent.content !== content || !isPlain && nowMs - lastSent.sentMs >= repeatIntervalMs;
                if (vm !== self && isDue && links.send(vm, { type: "loadReport", isWhole: false, loads: [], learnedSpeeds })) {
                    this.lastSentByRecipient.set(recipient, { content, sentMs: nowMs });
                }
            }
        }
    }
}
