import type { UpstreamLoad } from "../../schema/relay/UpstreamLoad.js";
import { EngineSpeeds } from "./EngineSpeeds.js";
import { EventGapTracker } from "./EventGapTracker.js";
import type { InFlightCall } from "./InFlightCall.js";

/**
 * Load of one upstream: calls in flight, how many of them are streams that have started, and the time needed for pending prefill, by the
 * priority offset of the calls.
 */
interface Load {
    calls: number;
    streams: number;
    prefillMsByOffset: number[];
}

const emptyLoad: Readonly<Load> = { calls: 0, streams: 0, prefillMsByOffset: [] };

interface PeerLoads {
    readonly loads: Map<string, Readonly<Load>>;
    /** When the last report arrived; before the first one, when the peer was added. */
    lastReportMs: number;
    /** When it last got a first call in flight; it need not have reported since the one before. */
    loadedMs: number;
}

/** The loads of a VM expire after this time without a report; it is more than twice the longest report interval. */
const peerTimeoutMs = 2_500;
/** A VM with calls in flight reports each second; one that is later than this may hold up a refusal, as its calls may have ended. */
const lateReportMs = 1_500;
/** A call whose prefill takes at least this long makes the next report urgent: about half a prefill chunk of an engine. */
const urgentPrefillMs = 15;

/** Tracks the load of all VMs on each upstream: exact for the calls of this VM, as last reported for those of the others. */
export class UpstreamLoadTracker {
    /** Time between the events of the streams of each upstream. */
    readonly eventGaps = new EventGapTracker();
    /** Learned speeds of the engines; undefined unless they are to be learned. */
    readonly engineSpeeds: EngineSpeeds | undefined;
    private readonly localLoads = new Map<string, Load>();
    private readonly peers = new Map<string, PeerLoads>();
    private readonly peerTotals = new Map<string, Load>();
    /** Calls of this VM, by upstream, whose first event is pending and can become overdue. */
    private readonly callsAwaitingFirstEvent = new Map<string, Set<InFlightCall>>();
    private readonly changedIds = new Set<string>();
    private isUrgent = false;
    private changeListener: () => void = () => undefined;

    constructor(options: { readonly learnsEngineSpeeds: boolean; } = { learnsEngineSpeeds: false }) {
        this.engineSpeeds = options.learnsEngineSpeeds ? new EngineSpeeds() : undefined;
    }

    /** Sets the listener that is called when there are changes to report, and again when they become urgent. */
    onPendingChanges(listener: () => void): void {
        this.changeListener = listener;
    }

    /** Records that a call was sent to an upstream. */
    recordCallStart(id: string, call: InFlightCall): void {
        this.recordChange(id, 1, 0, call, call.readMs);
        if (call.readMs >= urgentPrefillMs && !this.isUrgent) {
            this.isUrgent = true;
            this.changeListener();
        }
        if (call.dueMs !== undefined) {
            this.getCallsAwaitingFirstEvent(id).add(call);
        }
    }

    /** Records the first event of a stream, which shows that its prefill is complete. */
    recordFirstEvent(id: string, call: InFlightCall): void {
        this.recordChange(id, 0, 1, call, -call.readMs);
        this.getCallsAwaitingFirstEvent(id).delete(call);
    }

    /** Records the end of a call; `hadFirstEvent` is whether its first event had arrived. */
    recordCallEnd(id: string, call: InFlightCall, hadFirstEvent: boolean): void {
        this.recordChange(id, -1, hadFirstEvent ? -1 : 0, call, hadFirstEvent ? 0 : -call.readMs);
        this.getCallsAwaitingFirstEvent(id).delete(call);
    }

    callsInFlight(id: string): number {
        return (this.localLoads.get(id)?.calls ?? 0) + (this.peerTotals.get(id)?.calls ?? 0);
    }

    localCallsInFlight(id: string): number {
        return this.localLoads.get(id)?.calls ?? 0;
    }

    streamsInFlight(id: string): number {
        return (this.localLoads.get(id)?.streams ?? 0) + (this.peerTotals.get(id)?.streams ?? 0);
    }

    /** Total prefill time of the upstream's calls whose first event is pending and whose priority offset is at most this one. */
    pendingPrefillMs(id: string, maxPriorityOffset = Infinity): number {
        return Math.max(
            0,
            sumUpTo(this.localLoads.get(id)?.prefillMsByOffset, maxPriorityOffset) +
                sumUpTo(this.peerTotals.get(id)?.prefillMsByOffset, maxPriorityOffset),
        );
    }

    /** How long the most overdue first event among this VM's calls is overdue; 0 when none is. */
    overdueMs(id: string, nowMs: number): number {
        let maxOverdueMs = 0;
        for (const call of this.callsAwaitingFirstEvent.get(id) ?? []) {
            maxOverdueMs = Math.max(maxOverdueMs, nowMs - (call.dueMs ?? nowMs));
        }
        return maxOverdueMs;
    }

    /** Whether a prompt with a long prefill was placed since the last report. */
    get hasUrgentChanges(): boolean {
        return this.isUrgent;
    }

    /** Whether a load of this VM changed since the last report. */
    get hasChanges(): boolean {
        return this.changedIds.size > 0;
    }

    /** Returns the loads that have changed since the last report and clears the changes; undefined when there are none. */
    takeChanges(): UpstreamLoad[] | undefined {
        if (this.changedIds.size === 0) {
            return undefined;
        }
        const report = [...this.changedIds].map(id => this.toReportEntry(id));
        this.changedIds.clear();
        this.isUrgent = false;
        return report;
    }

    /**
     * Returns all loads of this VM, for VMs that may have missed reports, and clears the changes. Loads whose calls have all ended are
     * included if the end has not been reported.
     */
    takeFullReport(): UpstreamLoad[] {
        const report = [...this.localLoads].filter(([id, load]) => load.calls > 0 || this.changedIds.has(id)).map(([id]) =>
            this.toReportEntry(id)
        );
        this.changedIds.clear();
        this.isUrgent = false;
        return report;
    }

    /** Applies a report of another VM. A full report replaces all its loads; any other replaces those that it lists. */
    applyReport(vm: string, report: readonly UpstreamLoad[], isFullReport: boolean, nowMs: number): void {
        const peer = this.peers.get(vm) ?? { loads: new Map(), lastReportMs: nowMs, loadedMs: nowMs };
        this.peers.set(vm, peer);
        peer.lastReportMs = nowMs;
        if (isFullReport) {
            this.clearPeer(peer);
        }
        for (const [id, calls, streams, prefillMsByOffset] of report) {
            this.replacePeerLoad(peer, id, { calls, streams, prefillMsByOffset });
        }
    }

    /** Counts a call that this VM placed for another VM, until that VM reports its load on the upstream. */
    recordPlacementFor(vm: string, id: string, { readMs, delay: priorityOffset }: InFlightCall, nowMs: number): void {
        const peer = this.peers.get(vm) ?? { loads: new Map(), lastReportMs: nowMs, loadedMs: nowMs };
        this.peers.set(vm, peer);
        if (peer.loads.size === 0) {
            peer.loadedMs = nowMs;
        }
        const { calls, streams, prefillMsByOffset } = peer.loads.get(id) ?? emptyLoad;
        const updatedPrefillMs = [...prefillMsByOffset];
        addAt(updatedPrefillMs, priorityOffset, readMs);
        this.replacePeerLoad(peer, id, { calls: calls + 1, streams, prefillMsByOffset: updatedPrefillMs });
    }

    /** Whether a VM that had calls in flight is late with its report, so that the loads may be too high. */
    hasLatePeers(nowMs: number): boolean {
        for (const { loads, lastReportMs, loadedMs } of this.peers.values()) {
            if (loads.size > 0 && nowMs - Math.max(lastReportMs, loadedMs) > lateReportMs) {
                return true;
            }
        }
        return false;
    }

    /** Removes the loads of VMs that are gone or have stopped reporting. */
    evictPeers(nowMs: number, isGone: (vm: string) => boolean): void {
        for (const [vm, peer] of this.peers) {
            if (nowMs - peer.lastReportMs > peerTimeoutMs || isGone(vm)) {
                this.clearPeer(peer);
                this.peers.delete(vm);
            }
        }
    }

    /** Removes the data of an upstream that is gone, unless calls of this VM are still in flight there. */
    removeUpstream(id: string): void {
        if (this.localCallsInFlight(id) === 0) {
            this.localLoads.delete(id);
            this.callsAwaitingFirstEvent.delete(id);
            this.changedIds.delete(id);
            this.eventGaps.removeUpstream(id);
            this.engineSpeeds?.removeUpstream(id);
        }
    }

    /** Adds the deltas to the load of this VM on an upstream. */
    private recordChange(
        id: string,
        callsDelta: number,
        streamsDelta: number,
        { delay: priorityOffset }: InFlightCall,
        prefillDeltaMs: number,
    ): void {
        let load = this.localLoads.get(id);
        if (load === undefined) {
            load = { calls: 0, streams: 0, prefillMsByOffset: [] };
            this.localLoads.set(id, load);
        }
        load.calls += callsDelta;
        load.streams += streamsDelta;
        addAt(load.prefillMsByOffset, priorityOffset, prefillDeltaMs);
        if (load.calls === 0) {
            load.prefillMsByOffset.length = 0;
        }
        const hadChanges = this.hasChanges;
        this.changedIds.add(id);
        if (!hadChanges) {
            this.changeListener();
        }
    }

    private getCallsAwaitingFirstEvent(id: string): Set<InFlightCall> {
        let calls = this.callsAwaitingFirstEvent.get(id);
        if (calls === undefined) {
            calls = new Set();
            this.callsAwaitingFirstEvent.set(id, calls);
        }
        return calls;
    }

    private toReportEntry(id: string): UpstreamLoad {
        const { calls, streams, prefillMsByOffset } = this.localLoads.get(id) ?? emptyLoad;
        return [id, calls, streams, prefillMsByOffset.map(ms => Math.max(0, Math.round(ms)))];
    }

    private replacePeerLoad(peer: PeerLoads, id: string, load: Readonly<Load>): void {
        const previous = peer.loads.get(id);
        const total = this.peerTotals.get(id) ?? { calls: 0, streams: 0, prefillMsByOffset: [] };
        total.calls += load.calls - (previous?.calls ?? 0);
        total.streams += load.streams - (previous?.streams ?? 0);
        load.prefillMsByOffset.forEach((ms, priorityOffset) => {
            addAt(total.prefillMsByOffset, priorityOffset, ms);
        });
        previous?.prefillMsByOffset.forEach((ms, priorityOffset) => {
            addAt(total.prefillMsByOffset, priorityOffset, -ms);
        });
        if (total.calls > 0) {
            this.peerTotals.set(id, total);
        }
        else {
            this.peerTotals.delete(id);
        }
        if (load.calls === 0) {
            peer.loads.delete(id);
        }
        else {
            peer.loads.set(id, load);
        }
    }

    private clearPeer(peer: PeerLoads): void {
        for (const id of [...peer.loads.keys()]) {
            this.replacePeerLoad(peer, id, emptyLoad);
        }
    }
}

function addAt(values: number[], index: number, amount: number): void {
    while (values.length <= index) {
        values.push(0);
    }
    values[index] = (values[index] ?? 0) + amount;
}

function sumUpTo(values: readonly number[] | undefined, maxIndex: number): number {
    let total = 0;
    for (let index = 0; values !== undefined && index < values.length && index <= maxIndex; index++) {
        total += values[index] ?? 0;
    }
    return total;
}
