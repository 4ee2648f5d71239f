import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";

interface DirectoryEntry {
    readonly upstream: RelayUpstream;
    /** The upstream wrote its entry at this time or later. */
    readonly writtenAfterMs: number;
    /** Whether the entry is missing from the list, but may only have expired during an outage. */
    isMissing: boolean;
}

/** The last time for which the list could not be read. */
interface ListOutage {
    /** Start of the last read that failed, or was held up until the end of the outage, which came after that. */
    lastFailureMs: number;
    /** Start and end of the first read after the outage; undefined while it lasts. */
    firstRead: { readonly startedMs: number; readonly endedMs: number; } | undefined;
    /** Whether the list has been restored from a copy, which lacks the entries that were written after it was taken. */
    readonly isRestore: boolean;
}

interface UpstreamDirectoryOptions {
    /** An entry that its upstream has written within this time was deleted, and has not expired, when it leaves the list. */
    readonly minExpiryMs: number;
    /** Longest time after an outage for which upstreams that have left the list are kept. */
    readonly maxGraceMs: number;
}

/** Upstreams write the entries that expired during an outage of the list again within this time after it. */
const relistingMs = 2_000;
/** A read that takes this long was held up: the list is read in a few milliseconds. */
const heldUpMs = 300;
/** Time for a read that begins at the end of `relistingMs` to arrive, also when another VM forwards it. */
const lastReadMs = 100;

/** The upstreams that may be sent calls, as reported by the platform's upstream list. */
export class UpstreamDirectory {
    private readonly entries = new Map<string, DirectoryEntry>();
    private readonly availableByService = new Map<string, readonly RelayUpstream[]>();
    private outage: ListOutage | undefined;

    constructor(private readonly options: UpstreamDirectoryOptions = { minExpiryMs: 0, maxGraceMs: Infinity }) {}

    /**
     * Records that a read of the list that began at `startedMs` has failed. Entries that disappear soon after the outage may have expired only
     * because of it.
     */
    recordListOutage(startedMs: number): void {
        this.outage = { lastFailureMs: startedMs, firstRead: undefined, isRestore: false };
    }

    /** Records that the list which follows has been restored from a copy: upstreams that it lacks may only have written their entries after the copy. */
    recordRestore(nowMs: number): void {
        this.outage = { lastFailureMs: nowMs, firstRead: { startedMs: nowMs, endedMs: nowMs }, isRestore: true };
    }

    /**
     * Records that the list is known at `endedMs`, by a read that began at `startedMs` or, while that is held up, from another VM. Returns
     * whether this ends an outage.
     */
    recordListRead(startedMs: number, endedMs: number): boolean {
        if (this.outage === undefined || this.outage.firstRead !== undefined) {
            return false;
        }
        this.outage.firstRead = { startedMs, endedMs };
        if (endedMs - startedMs >= heldUpMs) {
            this.outage.lastFailureMs = startedMs;
        }
        return true;
    }

    /** When upstreams that are missing since an outage are removed; undefined during the outage and when none need be awaited. */
    get graceEndMs(): number | undefined {
        if (this.outage?.firstRead === undefined) {
            return undefined;
        }
        const { lastFailureMs, firstRead } = this.outage;
        return Math.min(firstRead.endedMs + relistingMs + lastReadMs, lastFailureMs + this.options.maxGraceMs);
    }

    /** When to read the list to see whether upstreams that are missing since an outage are back; undefined when none need be awaited. */
    get lastReadDueMs(): number | undefined {
        return this.graceEndMs === undefined ? undefined : this.graceEndMs - lastReadMs;
    }

    /** Lists an upstream. `writtenAfterMs` is a time before which its entry was not written. */
    set(upstream: RelayUpstream, writtenAfterMs = -Infinity): void {
        const before = this.entries.get(upstream.id)?.writtenAfterMs ?? -Infinity;
        this.entries.set(upstream.id, { upstream, writtenAfterMs: Math.max(before, writtenAfterMs), isMissing: false });
        this.availableByService.clear();
    }

    /** The service of an upstream; undefined when the directory does not contain it. */
    serviceOf(id: string): string | undefined {
        return this.entries.get(id)?.upstream.service;
    }

    /**
     * Removes an upstream that is no longer listed. One whose entry may have expired during an outage of the list is kept until it has had the
     * time to write it again.
     */
    remove(id: string, nowMs: number): void {
        const entry = this.entries.get(id);
        if (entry === undefined) {
            return;
        }
        if (!entry.upstream.isDraining && this.mayHaveExpired(entry, nowMs)) {
            entry.isMissing = true;
            return;
        }
        this.entries.delete(id);
        this.availableByService.clear();
    }

    /** Removes the upstreams that a complete new list does not contain, with the same grace period as `remove`. */
    retain(ids: ReadonlySet<string>, nowMs: number): void {
        for (const id of [...this.entries.keys()]) {
            if (!ids.has(id)) {
                this.remove(id, nowMs);
            }
        }
    }

    /** Removes the upstreams that are still missing at the end of the grace period, and returns their ids. */
    removeExpired(nowMs: number): readonly string[] {
        if (!this.isGraceOver(nowMs)) {
            return [];
        }
        this.outage = undefined;
        const expired = [...this.entries].filter(([, { isMissing }]) => isMissing).map(([id]) => id);
        for (const id of expired) {
            this.entries.delete(id);
        }
        if (expired.length > 0) {
            this.availableByService.clear();
        }
        return expired;
    }

    get(id: string): RelayUpstream | undefined {
        return this.entries.get(id)?.upstream;
    }

    /** Upstreams of a service that accept new calls, in order of their ids. */
    available(service: string): readonly RelayUpstream[] {
        const cached = this.availableByService.get(service);
        if (cached !== undefined) {
            return cached;
        }
        const upstreams = [...this.entries.values()]
            .map(entry => entry.upstream)
            .filter(upstream => upstream.service === service && !upstream.isDraining)
            .sort((left, right) => left.id < right.id ? -1 : 1);
        this.availableByService.set(service, upstreams);
        return upstreams;
    }

    /** Whether an upstream that is no longer listed is kept for its grace period. */
    isInGracePeriod(id: string): boolean {
        return this.entries.get(id)?.isMissing === true;
    }

    /** Number of upstreams that are no longer listed and are kept for their grace period. */
    get missingCount(): number {
        return [...this.entries.values()].filter(({ isMissing }) => isMissing).length;
    }

    /** All upstreams, draining ones included. */
    get upstreams(): readonly RelayUpstream[] {
        return [...this.entries.values()].map(entry => entry.upstream);
    }

    get size(): number {
        return this.entries.size;
    }

    private isGraceOver(nowMs: number): boolean {
        return this.graceEndMs !== undefined && nowMs >= this.graceEndMs;
    }

    /** Whether an entry that has left the list may have expired because of an outage, and its upstream may still write it again. */
    private mayHaveExpired({ writtenAfterMs }: DirectoryEntry, nowMs: number): boolean {
        if (this.outage === undefined || this.isGraceOver(nowMs)) {
            return false;
        }
        const { firstRead, isRestore } = this.outage;
        if (!isRestore && nowMs - writtenAfterMs < this.options.minExpiryMs) {
            return false;
        }
        return firstRead === undefined || writtenAfterMs < firstRead.startedMs;
    }
}
