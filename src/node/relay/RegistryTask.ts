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
/** VMs announce themselves again within this time after the registry may have lost their entries, each at a moment of its own. */
const maxReannounceDelayMs = 1_000;
const maxListedVms = 64;
const registryDuty = "vm-registry";

interface RegistryTaskOptions {
    readonly vm: string;
    readonly availabilityZone: string;
    readonly peerUrl: string;
    readonly registry: VmRegistry;
    readonly membership: Pick<MembershipService, "members">;
    readonly scheduler: Scheduler;
    /** Returns a number from 0 to 1. */
    readonly random: () => number;
    /** Receives the other VMs of the registry. */
    readonly onListed: (vms: VmList["vms"]) => void;
}

/**
 * Keeps a few VMs of each part of the fleet in the platform's registry, and looks there for other VMs while this one knows none. A VM
 * that knows no other is in a part of its own and announces itself.
 */
export class RegistryTask {
    private isAnnounced = false;
    private isReannouncing = false;
    private readonly stopController = new AbortController();
    /** VMs that the registry has listed, the last ones at the end; it may have lost some of them since. */
    private readonly listedVms = new Map<string, VmList["vms"][number]>();

    constructor(private readonly options: RegistryTaskOptions) {}

    /** The platform's log was restored from a copy, which may lack the entry of this VM. */
    recordLoss(): void {
        if (!this.isAnnounced || this.isReannouncing) {
            return;
        }
        this.isReannouncing = true;
        const { signal } = this.stopController;
        this.options.scheduler.after(this.options.random() * maxReannounceDelayMs, () => {
            this.isReannouncing = false;
            void this.announce(signal);
        }, signal);
    }

    start(signal: AbortSignal): void {
        signal.addEventListener("abort", () => {
            this.stopController.abort();
        }, { once: true });
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
        for (const other of others) {
            this.listedVms.delete(other.vm);
            this.listedVms.set(other.vm, other);
        }
        for (const vm of [...this.listedVms.keys()].slice(0, Math.max(0, this.listedVms.size - maxListedVms))) {
            this.listedVms.delete(vm);
        }
        onListed([...this.listedVms.values()]);
        log("no other VM is known; looked for VMs in the registry", {
            found: others.length,
            reason: listed.isErr() ? listed.error.message : undefined,
        });
    }
}
