import type { UpstreamLoad } from "../../schema/relay/UpstreamLoad.js";
import { EventGapTracker } from "./EventGapTracker.js";
import type { InFlightCall } from "./InFlightCall.js";

/**
 * Work on one upstream: calls in flight, of these streams that have begun, and the time it needs for prompts not read yet, by the
 * delay with which they were sent.
 */
interface Load {
    calls: number;
    streams: number;
    unreadMs: number[];
}

const noLoad: Readonly<Load> = { calls: 0, streams: 0, unreadMs: [] };

interface PeerLoads {
    readonly loads: Map<string, Readonly<Load>>;
    heardMs: number;
}

/** Reports of a VM that has not been heard for this long count no more; several times the longest period between reports. */
const forgetPeerMs = 2_500;
/** Reading that other VMs should know of at once: about half a chunk of an engine's step. */
const urgentReadMs = 15;

/** What all VMs together have in flight on each upstream: this VM's own calls exactly, the others' as they last told. */
export class UpstreamLoadTracker {
    /** How fast upstreams send events. */
    readonly eventGaps = new EventGapTracker();
    private readonly own = new Map<string, Load>();
    private readonly peers = new Map<string, PeerLoads>();
    private readonly peerSums = new Map<string, Load>();
    /** Own calls whose prompts have not been read. */
    private readonly unread = new Map<string, Set<InFlightCall>>();
    private readonly changed = new Set<string>();
    private isUrgent = false;
    private newsListener: () => void = () => undefined;

    /** Calls `listener` when there is something to report, and again when that becomes urgent. */
    onPendingChanges(listener: () => void): void {
        this.newsListener = listener;
    }

    /** A call is sent to an upstream. */
    recordCallStart(id: string, work: InFlightCall): void {
        this.change(id, 1, 0, work, work.readMs);
        if (work.readMs >= urgentReadMs && !this.isUrgent) {
            this.isUrgent = true;
            this.newsListener();
        }
        if (work.dueMs !== undefined) {
            this.unreadOf(id).add(work);
        }
    }

    /** The first event of a stream came, so that its prompt has been read. */
    recordFirstEvent(id: string, work: InFlightCall): void {
        this.change(id, 0, 1, work, -work.readMs);
        this.unreadOf(id).delete(work);
    }

    /** A call is over, after its first event or without one. */
    recordCallEnd(id: string, work: InFlightCall, hadStream: boolean): void {
        this.change(id, -1, hadStream ? -1 : 0, work, hadStream ? 0 : -work.readMs);
        this.unreadOf(id).delete(work);
    }

    callsInFlight(id: string): number {
        return (this.own.get(id)?.calls ?? 0) + (this.peerSums.get(id)?.calls ?? 0);
    }

    localCallsInFlight(id: string): number {
        return this.own.get(id)?.calls ?? 0;
    }

    streams(id: string): number {
        return (this.own.get(id)?.streams ?? 0) + (this.peerSums.get(id)?.streams ?? 0);
    }

    /** Time that the upstream needs for prompts whose first event has not come, and that were sent with at most this delay. */
    pendingPrefillMs(id: string, maxDelay = Infinity): number {
        return Math.max(0, sumUpTo(this.own.get(id)?.unreadMs, maxDelay) + sumUpTo(this.peerSums.get(id)?.unreadMs, maxDelay));
    }

    /** How much later than expected the first event of this VM's most delayed call is. */
    overdueMs(id: string, nowMs: number): number {
        let worstMs = 0;
        for (const work of this.unread.get(id) ?? []) {
            worstMs = Math.max(worstMs, nowMs - (work.dueMs ?? nowMs));
        }
        return worstMs;
    }

    /** A prompt that takes long to read was placed since the last report. */
    get hasUrgentChanges(): boolean {
        return this.isUrgent;
    }

    /** Something changed since the last report. */
    get hasChanges(): boolean {
        return this.changed.size > 0;
    }

    /** Takes what has changed since the last call; undefined when nothing has. */
    takeChanges(): UpstreamLoad[] | undefined {
        if (this.changed.size === 0) {
            return undefined;
        }
        const report = [...this.changed].map(id => this.entryOf(id));
        this.changed.clear();
        this.isUrgent = false;
        return report;
    }

    /** Every own load, for VMs that may have missed reports. */
    takeFullReport(): UpstreamLoad[] {
        this.changed.clear();
        this.isUrgent = false;
        return [...this.own].filter(([, load]) => load.calls > 0).map(([id]) => this.entryOf(id));
    }

    /** Another VM told its loads: all of them, or what has changed. */
    applyReport(vm: string, report: readonly UpstreamLoad[], isWhole: boolean, nowMs: number): void {
        const peer = this.peers.get(vm) ?? { loads: new Map(), heardMs: nowMs };
        this.peers.set(vm, peer);
        peer.heardMs = nowMs;
        if (isWhole) {
            this.clearPeer(peer);
        }
        for (const [id, calls, streams, unreadMs] of report) {
            this.replacePeerLoad(peer, id, { calls, streams, unreadMs });
        }
    }

    /** This VM placed a call for another one, which will report it itself from its next report on. */
    recordPlacementFor(vm: string, id: string, { readMs, delay }: InFlightCall, nowMs: number): void {
        const peer = this.peers.get(vm) ?? { loads: new Map(), heardMs: nowMs };
        this.peers.set(vm, peer);
        const { calls, streams, unreadMs } = peer.loads.get(id) ?? noLoad;
        const unreadThenMs = [...unreadMs];
        addAt(unreadThenMs, delay, readMs);
        this.replacePeerLoad(peer, id, { calls: calls + 1, streams, unreadMs: unreadThenMs });
    }

    /** Forgets VMs that are gone or have fallen silent. */
    evictPeers(nowMs: number, isGone: (vm: string) => boolean): void {
        for (const [vm, peer] of this.peers) {
            if (nowMs - peer.heardMs > forgetPeerMs || isGone(vm)) {
                this.clearPeer(peer);
                this.peers.delete(vm);
            }
        }
    }

    /** Forgets an upstream that is gone, once nothing is in flight there. */
    removeUpstream(id: string): void {
        if (this.localCallsInFlight(id) === 0) {
            this.own.delete(id);
            this.unread.delete(id);
            this.changed.delete(id);
            this.eventGaps.removeUpstream(id);
        }
    }

    private change(id: string, calls: number, streams: number, { delay }: InFlightCall, unreadMs: number): void {
        let load = this.own.get(id);
        if (load === undefined) {
            load = { calls: 0, streams: 0, unreadMs: [] };
            this.own.set(id, load);
        }
        load.calls += calls;
        load.streams += streams;
        addAt(load.unreadMs, delay, unreadMs);
        if (load.calls === 0) {
            load.unreadMs.length = 0;
        }
        const hadNews = this.hasChanges;
        this.changed.add(id);
        if (!hadNews) {
            this.newsListener();
        }
    }

    private unreadOf(id: string): Set<InFlightCall> {
        let works = this.unread.get(id);
        if (works === undefined) {
            works = new Set();
            this.unread.set(id, works);
        }
        return works;
    }

    private entryOf(id: string): UpstreamLoad {
        const { calls, streams, unreadMs } = this.own.get(id) ?? noLoad;
        return [id, calls, streams, unreadMs.map(ms => Math.max(0, Math.round(ms)))];
    }

    private replacePeerLoad(peer: PeerLoads, id: string, load: Readonly<Load>): void {
        const before = peer.loads.get(id);
        const sum = this.peerSums.get(id) ?? { calls: 0, streams: 0, unreadMs: [] };
        sum.calls += load.calls - (before?.calls ?? 0);
        sum.streams += load.streams - (before?.streams ?? 0);
        load.unreadMs.forEach((ms, delay) => {
            addAt(sum.unreadMs, delay, ms);
        });
        before?.unreadMs.forEach((ms, delay) => {
            addAt(sum.unreadMs, delay, -ms);
        });
        if (sum.calls > 0) {
            this.peerSums.set(id, sum);
        }
        else {
            this.peerSums.delete(id);
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
            this.replacePeerLoad(peer, id, noLoad);
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
    let sum = 0;
    for (let index = 0; values !== undefined && index < values.length && index <= maxIndex; index++) {
        sum += values[index] ?? 0;
    }
    return sum;
}
