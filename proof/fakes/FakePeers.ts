import { err, ok, ResultAsync } from "neverthrow";
import type { Result } from "neverthrow";
import type { Member } from "../../src/core/membership/Member.js";
import type { Scheduler } from "../../src/core/util/Scheduler.js";
import type { MembershipService } from "../../src/node/services/MembershipService.js";
import type { PeerError } from "../../src/node/services/PeerError.js";
import type { PeerLinks } from "../../src/node/services/PeerLinks.js";
import type { PeerMessage } from "../../src/schema/peer/PeerMessage.js";

type Handler = (from: string, message: never) => PeerMessage | undefined | Promise<PeerMessage | undefined>;

interface FakeVm {
    readonly member: Omit<Member, "configOffset" | "state">;
    readonly configOffset: () => number;
    readonly isReady: () => boolean;
    readonly handlers: Map<string, Handler>;
    /** Awaited before each message is delivered; delays messages while the VM is paused. */
    readonly gate: () => Promise<void>;
    isUp: boolean;
}

/** In-memory membership and peer links of a fleet. A cut between availability zones takes effect on both sides at once. */
export class FakePeers {
    linkDelayMs = 1;
    private readonly vms = new Map<string, FakeVm>();
    private readonly cutZones = new Set<string>();

    constructor(private readonly scheduler: Scheduler) {}

    /** Adds a VM, or replaces the VM with the same name. */
    add(
        vm: string,
        availabilityZone: string,
        incarnation: string,
        configOffset: () => number,
        isReady: () => boolean,
        gate: () => Promise<void> = () => Promise.resolve(),
    ): void {
        const member = { vm, incarnation, availabilityZone, region: "fiji-west", peerUrl: `fake:${vm}`, processorShare: 1 };
        this.vms.set(vm, { member, configOffset, isReady, handlers: new Map(), gate, isUp: true });
    }

    crash(vm: string): void {
        const crashed = this.vms.get(vm);
        if (crashed !== undefined) {
            crashed.isUp = false;
        }
    }

    /** Partitions an availability zone from all others. */
    cut(zone: string): void {
        this.cutZones.add(zone);
    }

    heal(zone: string): void {
        this.cutZones.delete(zone);
    }

    membership(vm: string): MembershipService {
        const members = () => this.membersSeenBy(vm);
        return {
            get members(): readonly Member[] {
                return members();
            },
            onChange: () => undefined,
        };
    }

    links(vm: string): PeerLinks {
        return {
            send: () => false,
            request: (to, message) => new ResultAsync(this.request(vm, to, message)),
            onMessage: (type, handler) => {
                this.vms.get(vm)?.handlers.set(type, handler as Handler);
            },
        };
    }

    isAlive(seenBy: string, vm: string, incarnation: string): boolean {
        return this.membersSeenBy(seenBy).some(member => member.vm === vm && member.incarnation === incarnation);
    }

    private membersSeenBy(vm: string): Member[] {
        const seen: Member[] = [];
        for (const other of this.vms.values()) {
            if (other.isUp && this.isLinked(vm, other.member.vm)) {
                seen.push({ ...other.member, configOffset: other.configOffset(), state: other.isReady() ? "ready" : "starting" });
            }
        }
        return seen;
    }

    private isLinked(from: string, to: string): boolean {
        const fromZone = this.vms.get(from)?.member.availabilityZone ?? "";
        const toZone = this.vms.get(to)?.member.availabilityZone ?? "";
        return fromZone === toZone || !(this.cutZones.has(fromZone) || this.cutZones.has(toZone));
    }

    private async request(from: string, to: string, message: PeerMessage): Promise<Result<PeerMessage, PeerError>> {
        await this.sleep();
        const peer = this.vms.get(to);
        const handler = peer?.handlers.get(message.type);
        if (peer === undefined || !peer.isUp || handler === undefined || !this.isLinked(from, to)) {
            return err({ kind: "no-link", message: `no link to VM ${to}` });
        }
        await peer.gate();
        const reply = await handler(from, message as never);
        await this.sleep();
        await this.vms.get(from)?.gate();
        return reply === undefined || !this.isLinked(from, to) ? err({ kind: "timeout", message: `no reply from VM ${to}` }) : ok(reply);
    }

    private sleep(): Promise<void> {
        return new Promise(resolve => {
            this.scheduler.after(this.linkDelayMs, resolve, new AbortController().signal);
        });
    }
}
