import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";

interface DirectoryEntry {
    readonly upstream: RelayUpstream;
    /** Its entry went while entries may lapse for a fault of the list; used only until this moment. */
    lapsesAtMs: number | undefined;
}

/**
 * After an outage of the list, upstreams that live are back on it within this time (the platform promises about two
 * seconds); one that is still missing then is gone.
 */
const lapseGraceMs = 1_800;

/** The upstreams that may be sent calls, as the platform's list tells them. */
export class UpstreamDirectory {
    private readonly entries = new Map<string, DirectoryEntry>();
    private readonly byService = new Map<string, readonly RelayUpstream[]>();
    private listTroubledUntilMs = -Infinity;

    /** The list failed just now; entries that go soon after may have lapsed only because of that. */
    recordListOutage(nowMs: number): void {
        this.listTroubledUntilMs = nowMs + lapseGraceMs;
    }

    set(upstream: RelayUpstream): void {
        this.entries.set(upstream.id, { upstream, lapsesAtMs: undefined });
        this.byService.clear();
    }

    /** The service of an upstream; undefined when it is not in use. */
    serviceOf(id: string): string | undefined {
        return this.entries.get(id)?.upstream.service;
    }

    /** Removes an upstream whose entry has gone. One that lapsed around an outage of the list is kept a little longer. */
    remove(id: string, nowMs: number): void {
        const entry = this.entries.get(id);
        if (entry === undefined) {
            return;
        }
        if (nowMs < this.listTroubledUntilMs && !entry.upstream.isDraining) {
            entry.lapsesAtMs ??= nowMs + lapseGraceMs;
            return;
        }
        this.entries.delete(id);
        this.byService.clear();
    }

    /** Removes what is not in a whole new list. */
    retain(ids: ReadonlySet<string>, nowMs: number): void {
        for (const id of [...this.entries.keys()]) {
            if (!ids.has(id)) {
                this.remove(id, nowMs);
            }
        }
    }

    /** Drops upstreams whose time of grace is over; returns their ids. */
    removeExpired(nowMs: number): readonly string[] {
        const expired = [...this.entries].filter(([, entry]) => entry.lapsesAtMs !== undefined && entry.lapsesAtMs <= nowMs).map(([id]) =>
            id
        );
        for (const id of expired) {
            this.entries.delete(id);
        }
        if (expired.length > 0) {
            this.byService.clear();
        }
        return expired;
    }

    get(id: string): RelayUpstream | undefined {
        return this.entries.get(id)?.upstream;
    }

    /** Upstreams of a service that take new calls, in order of their ids. */
    available(service: string): readonly RelayUpstream[] {
        const known = this.byService.get(service);
        if (known !== undefined) {
            return known;
        }
        const found = [...this.entries.values()]
            .map(entry => entry.upstream)
            .filter(upstream => upstream.service === service && !upstream.isDraining)
            .sort((left, right) => left.id < right.id ? -1 : 1);
        this.byService.set(service, found);
        return found;
    }

    /** Whether an upstream is kept though its entry has gone. */
    isInGracePeriod(id: string): boolean {
        return this.entries.get(id)?.lapsesAtMs !== undefined;
    }

    get size(): number {
        return this.entries.size;
    }
}
