import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";

interface DirectoryEntry {
    readonly upstream: RelayUpstream;
    /** End of the grace period of an upstream that left the list during or shortly after an outage; undefined while it is listed. */
    expiresAtMs: number | undefined;
}

/**
 * After an outage of the upstream list, live upstreams are listed again within this time (the platform promises about two seconds).
 * An upstream that is still missing then is gone.
 */
const removalGraceMs = 1_800;

/** The upstreams that may be sent calls, as reported by the platform's upstream list. */
export class UpstreamDirectory {
    private readonly entries = new Map<string, DirectoryEntry>();
    private readonly availableByService = new Map<string, readonly RelayUpstream[]>();
    private listOutageUntilMs = -Infinity;

    /** Records an outage of the list at `nowMs`. Entries that disappear soon after it may have expired only because of the outage. */
    recordListOutage(nowMs: number): void {
        this.listOutageUntilMs = nowMs + removalGraceMs;
    }

    set(upstream: RelayUpstream): void {
        this.entries.set(upstream.id, { upstream, expiresAtMs: undefined });
        this.availableByService.clear();
    }

    /** The service of an upstream; undefined when the directory does not contain it. */
    serviceOf(id: string): string | undefined {
        return this.entries.get(id)?.upstream.service;
    }

    /** Removes an upstream that is no longer listed. After an outage of the list, one that is not draining is kept for a grace period. */
    remove(id: string, nowMs: number): void {
        const entry = this.entries.get(id);
        if (entry === undefined) {
            return;
        }
        if (nowMs < this.listOutageUntilMs && !entry.upstream.isDraining) {
            entry.expiresAtMs ??= nowMs + removalGraceMs;
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

    /** Removes upstreams whose grace period is over and returns their ids. */
    removeExpired(nowMs: number): readonly string[] {
        const expired = [...this.entries].filter(([, entry]) => entry.expiresAtMs !== undefined && entry.expiresAtMs <= nowMs).map(([id]) =>
            id
        );
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
        return this.entries.get(id)?.expiresAtMs !== undefined;
    }

    /** All upstreams, draining ones included. */
    get upstreams(): readonly RelayUpstream[] {
        return [...this.entries.values()].map(entry => entry.upstream);
    }

    get size(): number {
        return this.entries.size;
    }
}
