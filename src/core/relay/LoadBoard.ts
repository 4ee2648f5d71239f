import type { UpstreamLoad } from "../../schema/relay/UpstreamLoad.js";

interface OwnLoad {
    calls: number;
    streams: number;
    /** Prompt reading handed out since the last report, milliseconds. */
    unreportedReadMs: number;
}

interface PeerLoads {
    readonly loads: Map<string, { readonly calls: number; readonly streams: number; }>;
    heardMs: number;
}

/** Reports of a VM that has not been heard for this long count no more; several times the longest period between reports. */
const forgetPeerMs = 2_500;
const noLoad: OwnLoad = { calls: 0, streams: 0, unreportedReadMs: 0 };

/**
 * What all VMs together have in flight on each upstream: this VM's own calls exactly, the others' as they last told. Prompts that
 * wait to be read are kept as the moment at which an engine will have read them all, so that a lost report heals by itself.
 */
export class LoadBoard {
    private readonly own = new Map<string, OwnLoad>();
    private readonly peers = new Map<string, PeerLoads>();
    private readonly peerSums = new Map<string, { calls: number; streams: number; }>();
    private readonly readUntilMs = new Map<string, number>();
    private readonly changed = new Set<string>();

    /** A call is sent to an upstream, which will take `readMs` to read its prompt. */
    begin(id: string, readMs: number, nowMs: number): void {
        const load = this.ownOf(id);
        load.calls++;
        load.unreportedReadMs += readMs;
        this.addRead(id, readMs, nowMs);
        this.changed.add(id);
    }

    streamBegan(id: string): void {
        this.ownOf(id).streams++;
        this.changed.add(id);
    }

    end(id: string, hadStream: boolean): void {
        const load = this.ownOf(id);
        load.calls--;
        load.streams -= hadStream ? 1 : 0;
        this.changed.add(id);
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

    /** How long the upstream needs for the prompts that wait there. */
    unreadMs(id: string, nowMs: number): number {
        return Math.max(0, (this.readUntilMs.get(id) ?? 0) - nowMs);
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
        for (const [id, calls, streams, readMs] of report) {
            this.replacePeerLoad(peer, id, calls, streams);
            this.addRead(id, readMs, nowMs);
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
            this.readUntilMs.delete(id);
            this.changed.delete(id);
        }
    }

    private entryOf(id: string): UpstreamLoad {
        const load = this.own.get(id) ?? noLoad;
        const readMs = Math.round(load.unreportedReadMs * 10) / 10;
        if (load !== noLoad) {
            load.unreportedReadMs = 0;
        }
        return [id, load.calls, load.streams, readMs];
    }

    private ownOf(id: string): OwnLoad {
        let load = this.own.get(id);
        if (load === undefined) {
            load = { ...noLoad };
            this.own.set(id, load);
        }
        return load;
    }

    private addRead(id: string, readMs: number, nowMs: number): void {
        if (readMs > 0) {
            this.readUntilMs.set(id, Math.max(nowMs, this.readUntilMs.get(id) ?? 0) + readMs);
        }
    }

    private replacePeerLoad(peer: PeerLoads, id: string, calls: number, streams: number): void {
        const before = peer.loads.get(id);
        const sum = this.peerSums.get(id) ?? { calls: 0, streams: 0 };
        sum.calls += calls - (before?.calls ?? 0);
        sum.streams += streams - (before?.streams ?? 0);
        this.peerSums.set(id, sum);
        if (calls === 0 && streams === 0) {
            peer.loads.delete(id);
        }
        else {
            peer.loads.set(id, { calls, streams });
        }
    }

    private clearPeer(peer: PeerLoads): void {
        for (const id of [...peer.loads.keys()]) {
            this.replacePeerLoad(peer, id, 0, 0);
        }
    }
}
