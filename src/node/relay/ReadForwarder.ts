import { limitForwardedRead } from "../../core/relay/limitForwardedRead.js";
import { planForwarding } from "../../core/relay/planForwarding.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { createLogger } from "../logs/createLogger.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";
import type { ForwardedRead } from "./ForwardedRead.js";

const log = createLogger("follow");

interface ReadForwarderOptions {
    readonly vm: string;
    readonly links: PeerLinks;
    readonly membership: Pick<MembershipService, "members">;
    /** Receives the reads that other VMs forward. */
    readonly onRead: (from: string, stream: string, read: ForwardedRead) => void;
}

/** Number of VMs that a read was sent to, itself or through others, and of those that no link led to. */
interface ForwardedCounts {
    readonly sent: number;
    readonly unsent: number;
}

type KeyedRecordsMessage = Extract<PeerMessage, { type: "keyedRecords"; }>;

/** Forwards reads of the platform's log to all other VMs; in a large fleet through one VM of each group, which passes them on. */
export class ReadForwarder {
    constructor(private readonly options: ReadForwarderOptions) {}

    start(signal: AbortSignal): void {
        this.options.links.onMessage("keyedRecords", (from, message) => {
            this.passOn(message);
            const { stream, epoch, isWhole, fromOffset, nextOffset, records } = message;
            this.options.onRead(from, stream, {
                epoch,
                isWhole,
                fromOffset,
                nextOffset,
                records: records.map(({ offset, key, value }) => ({ offset, key, value })),
            });
            return undefined;
        }, signal);
    }

    forward(stream: string, read: ForwardedRead): ForwardedCounts {
        const groups = planForwarding(this.options.vm, this.options.membership.members);
        const largestGroup = Math.max(groups.length, ...groups.map(({ vms }) => vms.length - 1));
        const limited = limitForwardedRead(read, largestGroup);
        const isLimited = limited.records.length < read.records.length;
        if (isLimited) {
            const { fromOffset, nextOffset } = read;
            log("read is too large to forward; other VMs read the log themselves", { stream, fromOffset, nextOffset });
        }
        const { links } = this.options;
        const message = {
            ...limited,
            type: "keyedRecords" as const,
            stream,
            epoch: read.epoch,
            isWhole: read.isWhole && !isLimited,
            records: [...limited.records],
        };
        const counts = { sent: 0, unsent: 0 };
        for (const { relays, vms } of groups) {
            const isSent = relays.some(relay => links.send(relay, { ...message, passOnTo: vms.filter(vm => vm !== relay) }));
            counts[isSent ? "sent" : "unsent"] += vms.length;
        }
        return counts;
    }

    private passOn(message: KeyedRecordsMessage): void {
        for (const vm of message.passOnTo) {
            this.options.links.send(vm, { ...message, passOnTo: [] });
        }
    }
}
