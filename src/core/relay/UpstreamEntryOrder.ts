import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";

/**
 * `newest`: nothing newer is known of the upstream; `known`: a record at this offset or a later one has been accepted; `older`: a newer entry has been
 * accepted; `earlier-incarnation`: the entry seems to be of an incarnation before the one that is known, but may be of a later one whose clock is behind.
 */
type EntryAge = "newest" | "known" | "older" | "earlier-incarnation";

type Entry = Pick<RelayUpstream, "id" | "startedWallMs" | "revision">;

interface EntrySource {
    /** Offset of the entry's record in the log. */
    readonly offset: number;
    /**
     * Whether another VM has accepted the entry, which knows as much of the upstream or more; it may still be older than what this VM
     * knows.
     */
    readonly isVouchedFor: boolean;
}

/** The newest entry that has been accepted of one incarnation of an upstream. */
interface Incarnation {
    readonly startedWallMs: number;
    readonly revision: number;
    /** When that entry was accepted; for an incarnation that another one has replaced, when that was. */
    readonly heldMs: number;
}

interface UpstreamHistory {
    /** Offset of the last record that was accepted, an entry or its removal; -1 if there is none since the last complete list began. */
    readonly offset: number;
    readonly current: Incarnation;
    /** Incarnations before the current one, the latest first. */
    readonly replaced: readonly Incarnation[];
    /** Last entry that seemed to be of an earlier incarnation; undefined if the current one has written since. */
    readonly unconfirmed: Omit<Entry, "id"> | undefined;
    /** When the entry left the list; undefined while it is listed. */
    readonly removedMs: number | undefined;
    /** Whether the entry is missing only since the list was restored from a copy, and may be written again as it was. */
    readonly isLost: boolean;
}

/** The platform may carry out a write that it has not confirmed seconds after its sender has given it up. */
const maxWriteDelayMs = 30_000;
const maxReplacedIncarnations = 3;
/** Start time of upstreams that do not state theirs. Their revisions cannot be compared, as they may have restarted in between. */
const unknownStartMs = 0;
const maxRemovedUpstreams = 1_024;

/**
 * Tells whether an entry of the upstream list is newer than those accepted before it. The order of the list's log is that in which the platform
 * carried out the writes, which need not be that in which the upstream sent them.
 *
 * Within one incarnation of an upstream, revisions decide. Start times do so only in part, as a clock may have been set back before a restart: an
 * entry with a lower start time counts as newer if its revision is not higher, since each incarnation counts from the beginning, or if another
 * one of the same incarnation follows it.
 */
export class UpstreamEntryOrder {
    private readonly listed = new Map<string, UpstreamHistory>();
    /** Upstreams that have left the list, in the order in which they did. */
    private readonly removed = new Map<string, UpstreamHistory>();

    /** Compares an entry with those accepted before it, and accepts it if it is the newest. */
    accept({ id, startedWallMs, revision }: Entry, source: EntrySource, nowMs: number): EntryAge {
        const history = this.find(id, nowMs);
        const age = history === undefined ? "newest" : compare({ startedWallMs, revision }, source, history, nowMs);
        if (age === "newest") {
            this.removed.delete(id);
            this.listed.set(id, {
                offset: source.offset,
                current: { startedWallMs, revision, heldMs: nowMs },
                replaced: history === undefined ? [] : listReplaced(history, startedWallMs, nowMs),
                unconfirmed: undefined,
                removedMs: undefined,
                isLost: false,
            });
        }
        else if (age === "earlier-incarnation" && history !== undefined) {
            (history.removedMs === undefined ? this.listed : this.removed).set(id, {
                ...history,
                unconfirmed: { startedWallMs, revision },
            });
        }
        return age;
    }

    /**
     * Records that an upstream has left the list: an entry that it wrote before that may still arrive. Returns whether the record of the removal is
     * newer than the last one that was accepted.
     */
    recordRemoval(id: string, offset: number, nowMs: number): boolean {
        const history = this.listed.get(id);
        if (history === undefined) {
            return true;
        }
        if (offset <= history.offset) {
            return false;
        }
        this.remove(id, { ...history, offset, removedMs: nowMs });
        return true;
    }

    /**
     * A complete list follows, which contains these upstreams. Its records replace all before them, whatever their offsets. With `isRestored`, entries
     * that it lacks may have been lost.
     */
    startList(ids: ReadonlySet<string>, nowMs: number, isRestored: boolean): void {
        for (const [id, history] of [...this.listed]) {
            if (ids.has(id)) {
                this.listed.set(id, { ...history, offset: -1 });
            }
            else {
                this.remove(id, { ...history, removedMs: nowMs, isLost: isRestored });
            }
        }
        for (const [id, history] of this.removed) {
            this.removed.set(id, { ...history, offset: -1 });
        }
    }

    private remove(id: string, history: UpstreamHistory): void {
        this.listed.delete(id);
        this.removed.set(id, history);
        const [oldestId] = this.removed.keys();
        if (this.removed.size > maxRemovedUpstreams && oldestId !== undefined) {
            this.removed.delete(oldestId);
        }
    }

    private find(id: string, nowMs: number): UpstreamHistory | undefined {
        const listed = this.listed.get(id);
        if (listed !== undefined) {
            return listed;
        }
        const removed = this.removed.get(id);
        if (removed?.removedMs !== undefined && isOver(removed.removedMs, nowMs)) {
            this.removed.delete(id);
            return undefined;
        }
        return removed;
    }
}

function compare(
    { startedWallMs, revision }: Omit<Entry, "id">,
    { offset, isVouchedFor }: EntrySource,
    { offset: acceptedOffset, current, replaced, unconfirmed, removedMs, isLost }: UpstreamHistory,
    nowMs: number,
): EntryAge {
    if (offset <= acceptedOffset) {
        return "known";
    }
    const isConfirmed = isVouchedFor || unconfirmed?.startedWallMs === startedWallMs && revision > unconfirmed.revision;
    if (startedWallMs === unknownStartMs) {
        return isConfirmed || current.startedWallMs === unknownStartMs ? "newest" : "earlier-incarnation";
    }
    if (startedWallMs === current.startedWallMs) {
        // Of an upstream that has left the list, the entry that was its newest may be carried out only now.
        const isOlder = revision < current.revision || revision === current.revision && removedMs !== undefined && !isLost;
        return isOlder && !isOver(removedMs ?? current.heldMs, nowMs) ? "older" : "newest";
    }
    const known = replaced.find(earlier => earlier.startedWallMs === startedWallMs && !isOver(earlier.heldMs, nowMs));
    if (known !== undefined && revision <= known.revision) {
        return "older";
    }
    const isLaterIncarnation = known === undefined && (startedWallMs > current.startedWallMs || revision <= current.revision);
    return isConfirmed || isLaterIncarnation ? "newest" : "earlier-incarnation";
}

function listReplaced({ current, replaced }: UpstreamHistory, startedWallMs: number, nowMs: number): readonly Incarnation[] {
    return startedWallMs === current.startedWallMs
        ? replaced
        : [{ ...current, heldMs: nowMs }, ...replaced.filter(earlier => earlier.startedWallMs !== startedWallMs)].slice(
            0,
            maxReplacedIncarnations,
        );
}

function isOver(sinceMs: number, nowMs: number): boolean {
    return nowMs - sinceMs > maxWriteDelayMs;
}
