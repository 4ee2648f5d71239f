import { computeRendezvousRank } from "../../core/util/computeRendezvousRank.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { VmList } from "../../schema/platform/VmList.js";
import { createLogger } from "../logs/createLogger.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { VmRegistry } from "./VmRegistry.js";

const log = createLogger("vm");

/** The first check comes once a VM that is reached by its seeds knows the other VMs. */
const firstCheckMs = 1_500;
const checkIntervalMs = 3_000;
/** Only VMs that know no other one use the registry, and a few entries lead them to the fleet. */
const maxRegisteredVms = 5;
const registryDuty = "vm-registry";

interface RegistryTaskOptions {
    readonly vm: string;
    readonly availabilityZone: string;
    readonly peerUrl: string;
    readonly registry: VmRegistry;
    readonly membership: Pick<MembershipService, "members">;
    readonly scheduler: Scheduler;
    /** Receives the other VMs of the registry. */
    readonly onListed: (vms: VmList["vms"]) => void;
}

/**
 * Keeps a few VMs of each part of the fleet in the platform's registry, and looks there for other VMs while this one knows none. A VM
 * that knows no other is in a part of its own and announces itself.
 */
export class RegistryTask {
    private isAnnounced = false;

    constructor(private readonly options: RegistryTaskOptions) {}

    start(signal: AbortSignal): void {
        const { scheduler } = this.options;
        const check = () => void this.check(signal);
        scheduler.after(firstCheckMs, () => {
            check();
            scheduler.every(checkIntervalMs, check, signal);
        }, signal);
    }

    private async check(signal: AbortSignal): Promise<void> {
        const { vm, membership } = this.options;
        const vms = membership.members.filter(({ state }) => state !== "draining").map(member => member.vm);
        if (!this.isAnnounced && computeRendezvousRank(registryDuty, vm, vms) < maxRegisteredVms) {
            await this.announce(signal);
        }
        if (membership.members.length === 1) {
            await this.list(signal);
        }
    }

    private async announce(signal: AbortSignal): Promise<void> {
        const { registry, vm, availabilityZone, peerUrl } = this.options;
        const announced = await registry.announce({ vm, availabilityZone, peerUrl, leaving: false }, signal);
        this.isAnnounced = announced.isOk();
        if (announced.isErr()) {
            log("announcing this VM in the registry failed; retrying", { reason: announced.error.message });
        }
    }

    private async list(signal: AbortSignal): Promise<void> {
        const { registry, vm, onListed } = this.options;
        const listed = await registry.list(signal);
        const others = listed.unwrapOr([]).filter(other => other.vm !== vm);
        onListed(others);
        log("no other VM is known; looked for VMs in the registry", {
            found: others.length,
            reason: listed.isErr() ? listed.error.message : undefined,
        });
    }
}
