import { FakeFleet } from "../../proof/membership/FakeFleet.js";
import { PeerCodec } from "../../src/node/peer/PeerCodec.js";
import type { TrafficFigures } from "./TrafficFigures.js";

const warmUpMs = 20_000;
/** Rate of configuration changes of a full day. One VM also restarts in each run, which is more often than on such a day. */
const configChangesPerSecond = 6900 / 86_400;
/** Header of a masked WebSocket frame from a client; unmasked frames from a server have a header 4 bytes shorter. */
const frameHeaderBytes = 6;
const longFrameHeaderBytes = 8;
const longFramePayloadBytes = 126;
const tcpIpHeaderBytes = 40;

/** Runs a fleet on a virtual clock with configuration changes and one VM restart, and measures the encoded messages after the warm-up. */
export function measureTraffic(memberCount: number, zoneCount: number, durationMs: number): TrafficFigures {
    const codec = new PeerCodec();
    const bytesByVm = new Map<string, number>();
    let messages = 0;
    let bytes = 0;
    let isCounting = false;
    const addBytes = (vm: string, size: number) => {
        bytesByVm.set(vm, (bytesByVm.get(vm) ?? 0) + size);
    };
    const fleet = new FakeFleet({
        onSend: (from, to, message) => {
            if (isCounting) {
                const payloadBytes = codec.encode({ kind: "message", message }).length;
                const size = payloadBytes + (payloadBytes < longFramePayloadBytes ? frameHeaderBytes : longFrameHeaderBytes);
                messages++;
                bytes += size;
                addBytes(from, size);
                addBytes(to, size);
            }
        },
    });
    startFleet(fleet, memberCount, zoneCount);
    isCounting = true;
    const startedMs = performance.now();
    runChanges(fleet, memberCount, zoneCount, durationMs);
    const elapsedMs = performance.now() - startedMs;
    const durationSeconds = durationMs / 1000;
    const vmSeconds = memberCount * durationSeconds;
    return {
        memberCount,
        zoneCount,
        bytesPerSecond: 2 * bytes / vmSeconds,
        worstBytesPerSecond: Math.max(...bytesByVm.values()) / durationSeconds,
        messagesPerSecond: 2 * messages / vmSeconds,
        wireBytesPerSecond: 2 * (bytes + tcpIpHeaderBytes * messages) / vmSeconds,
        decisionMicroseconds: elapsedMs * 1000 / vmSeconds,
    };
}

function startFleet(fleet: FakeFleet, memberCount: number, zoneCount: number): void {
    for (let index = 0; index < memberCount; index++) {
        fleet.start(vmName(index), zoneName(index, zoneCount));
    }
    fleet.advance(warmUpMs);
}

function runChanges(fleet: FakeFleet, memberCount: number, zoneCount: number, durationMs: number): void {
    const stepMs = 1000;
    let configOffset = 0;
    let pendingConfigChanges = 0;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
        pendingConfigChanges += configChangesPerSecond;
        if (pendingConfigChanges >= 1) {
            pendingConfigChanges--;
            configOffset++;
            for (const name of fleet.names) {
                fleet.table(name).updateLocalMember({ configOffset });
            }
        }
        if (elapsedMs === durationMs / 2) {
            const index = Math.floor(memberCount / 2);
            fleet.start(vmName(index), zoneName(index, zoneCount));
        }
        fleet.advance(stepMs);
    }
}

function vmName(index: number): string {
    return `entry-vm-${String(index).padStart(3, "0")}`;
}

function zoneName(index: number, zoneCount: number): string {
    return `region-1-zone-${index % zoneCount}`;
}
