import { FakeFleet } from "../../proof/membership/FakeFleet.js";
import { PeerCodec } from "../../src/node/peer/PeerCodec.js";
import type { TrafficFigures } from "./TrafficFigures.js";

const warmUpMs = 20_000;
/** Configuration changes as on a full day. One VM restarts in each run, which is more often than on such a day. */
const configChangesPerSecond = 6900 / 86_400;
/** Header of a frame that a client masks; those of a server are 4 bytes shorter. */
const frameHeaderBytes = 6;
const longFrameHeaderBytes = 8;
const longFrameBytes = 126;
const packetHeaderBytes = 40;

/** Runs a fleet over a virtual clock with the day's changes, and counts the encoded messages. */
export function measureTraffic(memberCount: number, zoneCount: number, durationMs: number): TrafficFigures {
    const codec = new PeerCodec();
    const bytesByVm = new Map<string, number>();
    let messages = 0;
    let bytes = 0;
    let isCounting = false;
    const add = (vm: string, size: number) => {
        bytesByVm.set(vm, (bytesByVm.get(vm) ?? 0) + size);
    };
    const fleet = new FakeFleet({
        onSend: (from, to, message) => {
            if (isCounting) {
                const payloadBytes = codec.encode({ kind: "message", message }).length;
                const size = payloadBytes + (payloadBytes < longFrameBytes ? frameHeaderBytes : longFrameHeaderBytes);
                messages++;
                bytes += size;
                add(from, size);
                add(to, size);
            }
        },
    });
    startAll(fleet, memberCount, zoneCount);
    isCounting = true;
    const startedMs = performance.now();
    runDay(fleet, memberCount, zoneCount, durationMs);
    const elapsedMs = performance.now() - startedMs;
    const seconds = durationMs / 1000;
    const perVm = memberCount * seconds;
    return {
        memberCount,
        zoneCount,
        bytesPerSecond: 2 * bytes / perVm,
        worstBytesPerSecond: Math.max(...bytesByVm.values()) / seconds,
        messagesPerSecond: 2 * messages / perVm,
        wireBytesPerSecond: 2 * (bytes + packetHeaderBytes * messages) / perVm,
        decisionMicroseconds: elapsedMs * 1000 / perVm,
    };
}

function startAll(fleet: FakeFleet, memberCount: number, zoneCount: number): void {
    for (let index = 0; index < memberCount; index++) {
        fleet.start(vmName(index), zoneName(index, zoneCount));
    }
    fleet.advance(warmUpMs);
}

function runDay(fleet: FakeFleet, memberCount: number, zoneCount: number, durationMs: number): void {
    const stepMs = 1000;
    let configOffset = 0;
    let configDue = 0;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
        configDue += configChangesPerSecond;
        if (configDue >= 1) {
            configDue--;
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
