import type { UpstreamLoad } from "../../schema/relay/UpstreamLoad.js";

/** Work on one upstream: calls in flight, of these streams that have begun, and the time it needs for prompts not read yet. */
interface Load {
    calls: number;
    streams: number;
    unreadMs: number;
}

interface PeerLoads {
    readonly loads: Map<string, Readonly<Load>>;
    heardMs: number;
}

/** Reports of a VM that has not been heard for this long count no more; several times the longest period between reports. */
const forgetPeerMs = 2_500;

/** What all VMs together have in flight on each upstream: this VM's own calls exactly, the others' as they last told. */
export class LoadBoard {
    private readonly own = new Map<string, Load>();
    private readonly peers = new Map<string, PeerLoads>();
    private readonly peerSums = new Map<string, Load>();
    private readonly changed = new Set<string>();

    /** A call is sent to an upstream, which will take `readMs` to read its prompt. */
    begin(id: string, readMs: number): void {
        this.change(id, 1, 0, readMs);
    }

    /** The first event of a stream came, so that its prompt has been read. */
    streamBegan(id: string, readMs: number): void {
        this.change(id, 0, 1, -readMs);
    }

    /** A call is over; `readMs` counts as long as no stream began. */
    end(id: string, hadStream: boolean, readMs: number): void {
        this.change(id, -1, hadStream ? -1 : 0, hadStream ? 0 : -readMs);
    }

    calls(id: string): number {
        return (this.own.get(id)?.calls ?? 0) + (this.peerSums.get(id)?.calls ?? 0);
    }

    ownCalls(id: string): number {
        return this.own.get(id)?.calls ?? 0;
    }

    streams(id: string): number {
        return (this.own.get(id)?.streams ?? 0) + (this.peerSums.get(id)?.streams ?? 0);
    }

    /** Time that the upstream needs for all prompts whose first event has not come. */
    unreadMs(id: string): number {
        return Math.max(0, (this.own.get(id)?.unreadMs ?? 0) + (this.peerSums.get(id)?.unreadMs ?? 0));
    }

    /** Takes what has changed since the last call; undefined when nothing has. */
    takeReport(): UpstreamLoad[] | undefined {
        if (this.changed.size === 0) {
            return undefined;
        }
        const report = [...this.changed].map(id => this.entryOf(id));
        this.changed.clear();
        return report;
    }

    /** Every own load, for VMs that may have missed reports. */
    wholeReport(): UpstreamLoad[] {
        this.changed.clear();
        return [...this.own.keys()].map(id => this.entryOf(id));
    }

    /** Another VM told its loads: all of them, or what has changed. */
    receive(vm: string, report: readonly UpstreamLoad[], isWhole: boolean, nowMs: number): void {
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

    /** Forgets VMs that are gone or have fallen silent. */
    forget(nowMs: number, isGone: (vm: string) => boolean): void {
        for (const [vm, peer] of this.peers) {
            if (nowMs - peer.heardMs > forgetPeerMs || isGone(vm)) {
                this.clearPeer(peer);
                this.peers.delete(vm);
            }
        }
    }

    /** Forgets an upstream that is gone, once nothing is in flight there. */
    drop(id: string): void {
        if (this.ownCalls(id) === 0) {
            this.own.delete(id);
            this.changed.delete(id);
        }
    }

    private change(id: string, calls: number, streams: number, unreadMs: number): void {
        let load = this.own.get(id);
        if (load === undefined) {
            load = { calls: 0, streams: 0, unreadMs: 0 };
            this.own.set(id, load);
        }
        load.calls += calls;
        load.streams += streams;
        load.unreadMs = load.calls === 0 ? 0 : load.unreadMs + unreadMs;
        this.changed.add(id);
    }

    private entryOf(id: string): UpstreamLoad {
        const load = this.own.get(id);
        return [id, load?.calls ?? 0, load?.streams ?? 0, Math.max(0, Math.round(load?.unreadMs ?? 0))];
    }

    private replacePeerLoad(peer: PeerLoads, id: string, load: Readonly<Load>): void {
        const before = peer.loads.get(id);
        const sum = this.peerSums.get(id) ?? { calls: 0, streams: 0, unreadMs: 0 };
        sum.calls += load.calls - (before?.calls ?? 0);
        sum.streams += load.streams - (before?.streams ?? 0);
        sum.unreadMs += load.unreadMs - (before?.unreadMs ?? 0);
        this.peerSums.set(id, sum);
        if (load.calls === 0) {
            peer.loads.delete(id);
        }
        else {
            peer.loads.set(id, load);
        }
    }

    private clearPeer(peer: PeerLoads): void {
        for (const id of [...peer.loads.keys()]) {
            this.replacePeerLoad(peer, id, { calls: 0, streams: 0, unreadMs: 0 });
        }
    }
}
