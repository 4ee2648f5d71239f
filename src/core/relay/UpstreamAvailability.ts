import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import type { UpstreamDirectory } from "./UpstreamDirectory.js";
import type { UpstreamHealth } from "./UpstreamHealth.js";

/** `resuming`: its pause is over, but it has not answered since. */
type AvailabilityState = "open" | "resuming" | "paused" | "leaving";

interface AvailabilityRecord {
    isLeaving: boolean;
    /** End of the pause that the upstream has asked for; undefined without one, and after its first answer since. */
    pausedUntilMs: number | undefined;
    lastTrialMs: number;
}

interface AvailableUpstreams {
    /** Upstreams that may be sent the call. */
    readonly candidates: readonly RelayUpstream[];
    /** When the first of the others may be sent calls again; undefined if none of them is paused. */
    readonly firstReturnMs: number | undefined;
}

interface UpstreamAvailabilityOptions {
    readonly directory: UpstreamDirectory;
    readonly health: UpstreamHealth;
    /** Returns a number from 0 to 1. */
    readonly random: () => number;
}

/** Share by which a VM lengthens a pause at most, so that the VMs do not all return at the same moment. */
const maxPauseJitter = 0.15;
/** An upstream that has not answered since its pause gets one call in this time. */
const trialIntervalMs = 100;
/** Records of upstreams that are gone are kept up to this number, as an upstream may be listed again after an outage of the list. */
const maxRecords = 1_024;

/**
 * Decides which upstreams of a service may be sent a call now, from the list, their health as seen by this VM, and what they say of
 * themselves in their responses: that they are leaving, or that they want no calls for some time.
 */
export class UpstreamAvailability {
    /** Records by upstream and incarnation. */
    private readonly records = new Map<string, AvailabilityRecord>();

    constructor(private readonly options: UpstreamAvailabilityOptions) {}

    /** Records that an upstream has said that it is leaving. Returns whether that is news. */
    recordLeaving(upstream: RelayUpstream): boolean {
        const record = this.getRecord(upstream);
        const isNews = !record.isLeaving;
        record.isLeaving = true;
        return isNews;
    }

    /** Records that an upstream wants no calls of this VM for a time. Returns for how long it gets none, in milliseconds. */
    recordPause(upstream: RelayUpstream, durationMs: number, nowMs: number): number {
        const record = this.getRecord(upstream);
        const untilMs = nowMs + durationMs * (1 + this.options.random() * maxPauseJitter);
        record.pausedUntilMs = Math.max(record.pausedUntilMs ?? -Infinity, untilMs);
        return record.pausedUntilMs - nowMs;
    }

    /** Records a response with which an upstream took a call. Returns whether that ends its return from a pause. */
    recordAnswer(upstream: RelayUpstream, nowMs: number): boolean {
        const record = this.findRecord(upstream);
        if (record?.pausedUntilMs === undefined || record.pausedUntilMs > nowMs) {
            return false;
        }
        record.pausedUntilMs = undefined;
        return true;
    }

    /** Records that a call is sent to an upstream. */
    recordSent(upstream: RelayUpstream, nowMs: number): void {
        const record = this.findRecord(upstream);
        if (record !== undefined) {
            record.lastTrialMs = nowMs;
        }
    }

    getState(upstream: RelayUpstream, nowMs: number): AvailabilityState {
        const record = this.findRecord(upstream);
        if (record?.isLeaving === true) {
            return "leaving";
        }
        if (record?.pausedUntilMs === undefined) {
            return "open";
        }
        return record.pausedUntilMs > nowMs ? "paused" : "resuming";
    }

    /** Number of listed upstreams in a state. */
    count(state: AvailabilityState, nowMs: number): number {
        return this.options.directory.upstreams.filter(upstream => this.getState(upstream, nowMs) === state).length;
    }

    /**
     * Selects the upstreams that may be sent a call now, without those whose ids are excluded. Upstreams that have failed lately are among
     * them only when there are no others.
     */
    select(service: string, excludedIds: ReadonlySet<string>, nowMs: number): AvailableUpstreams {
        const { directory, health } = this.options;
        const listed = directory.available(service).filter(upstream => !excludedIds.has(upstream.id));
        const open = listed.filter(upstream => this.mayTakeCall(upstream, nowMs));
        const healthy = open.filter(upstream => !health.isAvoided(upstream.id, nowMs));
        const returnsMs = listed.filter(upstream => !open.includes(upstream)).flatMap(upstream => this.findReturnMs(upstream) ?? []);
        return {
            candidates: healthy.length > 0 ? healthy : open,
            firstReturnMs: returnsMs.length > 0 ? Math.min(...returnsMs) : undefined,
        };
    }

    private mayTakeCall(upstream: RelayUpstream, nowMs: number): boolean {
        const record = this.findRecord(upstream);
        if (record === undefined) {
            return true;
        }
        return !record.isLeaving && (this.findReturnMs(upstream) ?? -Infinity) <= nowMs;
    }

    /** When a paused or resuming upstream may be sent its next call; undefined for a leaving one. */
    private findReturnMs(upstream: RelayUpstream): number | undefined {
        const record = this.findRecord(upstream);
        return record?.pausedUntilMs === undefined || record.isLeaving
            ? undefined
            : Math.max(record.pausedUntilMs, record.lastTrialMs + trialIntervalMs);
    }

    private findRecord(upstream: RelayUpstream): AvailabilityRecord | undefined {
        return this.records.get(formatKey(upstream));
    }

    private getRecord(upstream: RelayUpstream): AvailabilityRecord {
        let record = this.findRecord(upstream);
        if (record === undefined) {
            record = { isLeaving: false, pausedUntilMs: undefined, lastTrialMs: -Infinity };
            this.records.set(formatKey(upstream), record);
            const [oldestKey] = this.records.keys();
            if (this.records.size > maxRecords && oldestKey !== undefined) {
                this.records.delete(oldestKey);
            }
        }
        return record;
    }
}

function formatKey({ id, startedWallMs }: RelayUpstream): string {
    return `${id}/${startedWallMs}`;
}
