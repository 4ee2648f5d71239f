import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type { Member } from "../../../core/membership/Member.js";
import type { PeerMessage } from "../../../schema/peer/PeerMessage.js";
import type { LogClient } from "../../services/LogClient.js";
import type { LogError } from "../../services/LogError.js";
import type { LogRecord } from "../../services/LogRecord.js";
import type { MembershipService } from "../../services/MembershipService.js";
import type { PeerError } from "../../services/PeerError.js";
import type { PeerLinks } from "../../services/PeerLinks.js";

type Handler = (from: string, message: never) => PeerMessage | undefined | Promise<PeerMessage | undefined>;

/** In-memory peer links, membership and log, for tests of reports over several VMs. */
export class FakeFleet implements MembershipService, LogClient {
    readonly silent = new Set<string>();
    readonly records: LogRecord[] = [];
    /** Faults injected into the next appends, in order; with `landed` the record is written although the append fails. */
    readonly appendFaults: { readonly kind: LogError["kind"]; readonly landed: boolean; }[] = [];
    firstOffset = 0;
    isLogDown = false;
    private readonly handlers = new Map<string, Handler>();

    constructor(private readonly vms: readonly string[]) {}

    get members(): readonly Member[] {
        return this.vms.map(vm => ({
            vm,
            incarnation: `${vm}-1`,
            availabilityZone: "nadi",
            region: "fiji-west",
            peerUrl: "ws://127.0.0.1:1",
            processorShare: 1,
            state: "ready",
            configOffset: 3,
        }));
    }

    onChange(): void {
        // Membership does not change in these tests.
    }

    createLinks(vm: string): PeerLinks {
        return {
            send: () => false,
            request: (to, message) => this.request(vm, to, message),
            onMessage: (type, handler) => {
                this.handlers.set(`${vm}/${type}`, handler as Handler);
            },
        };
    }

    append(stream: string, payload: Uint8Array): ResultAsync<number, LogError> {
        const fault = this.appendFaults.shift();
        const offset = this.firstOffset + this.records.length;
        if (fault === undefined || fault.landed) {
            this.records.push({ offset, payload: new Uint8Array(payload) });
        }
        return fault === undefined ? okAsync(offset) : errAsync({ kind: fault.kind, firstOffset: undefined, message: stream });
    }

    read(stream: string, offset: number): ResultAsync<readonly LogRecord[], LogError> {
        if (this.isLogDown) {
            return errAsync({ kind: "unavailable", firstOffset: undefined, message: stream });
        }
        if (offset < this.firstOffset) {
            return errAsync({ kind: "forgotten", firstOffset: this.firstOffset, message: stream });
        }
        return okAsync(this.records.filter(record => record.offset >= offset).slice(0, 2));
    }

    private request(from: string, to: string, message: PeerMessage): ResultAsync<PeerMessage, PeerError> {
        const handler = this.handlers.get(`${to}/${message.type}`);
        const reply = this.silent.has(to) ? undefined : handler?.(from, message as never);
        return reply === undefined || reply instanceof Promise
            ? errAsync({ kind: "timeout", message: "peer did not reply" })
            : okAsync(structuredClone(reply));
    }
}
