import { createLogger } from "../logs/createLogger.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";
import type { LogSnapshot } from "./LogSnapshot.js";

const log = createLogger("follow");

interface SnapshotExchangeOptions {
    readonly links: PeerLinks & { readonly onLinkOpened: (listener: (vm: string) => void, signal: AbortSignal) => void; };
    readonly membership: Pick<MembershipService, "members">;
    /** Returns a number from 0 to 1. */
    readonly random: () => number;
    /** The records of a stream that this VM knows; undefined when it has none. */
    readonly getSnapshot: (stream: string) => LogSnapshot | undefined;
}

/** Two round trips between zones, and the transfer over a slow link. */
const requestTimeoutMs = 250;
/** Largest snapshot that is sent: a link of 7 Mbit/s carries it, compressed, to two dozen VMs in half a second. */
const maxSnapshotBytes = 80 * 1024;
const maxLinkedVms = 64;

/** Gives VMs that start, or that have missed records, the newest records of a log, so that they need not read it themselves. */
export class SnapshotExchange {
    /** VMs to which a link has been opened, the last one at the end. */
    private readonly linkedVms = new Set<string>();

    constructor(private readonly options: SnapshotExchangeOptions) {}

    start(signal: AbortSignal): void {
        const { links, getSnapshot } = this.options;
        links.onLinkOpened(vm => {
            this.linkedVms.delete(vm);
            this.linkedVms.add(vm);
            const [oldest] = this.linkedVms;
            if (this.linkedVms.size > maxLinkedVms && oldest !== undefined) {
                this.linkedVms.delete(oldest);
            }
        }, signal);
        links.onMessage("keyedSnapshotAsk", (...[, { stream }]) => {
            const snapshot = getSnapshot(stream);
            const sizeBytes = snapshot?.records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0) ?? 0;
            if (snapshot === undefined || sizeBytes > maxSnapshotBytes) {
                return { type: "keyedSnapshotAnswer" };
            }
            const records = snapshot.records.flatMap(({ offset, key, value }) => value === undefined ? [] : [{ offset, key, value }]);
            return { type: "keyedSnapshotAnswer", snapshot: { ...snapshot, records } };
        }, signal);
    }

    /** Requests the newest records of a stream from `vm`, or from one that a link leads to; undefined when it has none. */
    async request(stream: string, vm: string | undefined, signal: AbortSignal): Promise<LogSnapshot | undefined> {
        const { links } = this.options;
        const source = vm ?? this.chooseSource();
        if (source === undefined) {
            return undefined;
        }
        const answer = await links.request(source, { type: "keyedSnapshotAsk", stream }, requestTimeoutMs, signal);
        if (answer.isErr()) {
            this.linkedVms.delete(source);
            return undefined;
        }
        const snapshot = answer.value.type === "keyedSnapshotAnswer" ? answer.value.snapshot : undefined;
        if (snapshot !== undefined) {
            log("received the newest records from another VM", {
                stream,
                vm: source,
                epoch: snapshot.epoch,
                isRecent: snapshot.isRecent,
                nextOffset: snapshot.nextOffset,
                records: snapshot.records.length,
            });
        }
        return snapshot;
    }

    private chooseSource(): string | undefined {
        const { membership, random } = this.options;
        const linked = membership.members.filter(({ vm }) => this.linkedVms.has(vm));
        const ready = linked.filter(({ state }) => state === "ready");
        const candidates = ready.length > 0 ? ready : linked;
        return candidates[Math.floor(random() * candidates.length)]?.vm;
    }
}
