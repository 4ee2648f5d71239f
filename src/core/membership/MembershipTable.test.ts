import { expect } from "earl";
import { test } from "node:test";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { defaultMembershipSettings } from "./defaultMembershipSettings.js";
import { MembershipTable } from "./MembershipTable.js";

const selfVm = "a-0";
const otherVms = ["a-1", "a-2", "a-3", "a-4"];
const incarnation = "1";
const startMs = 10_000;
const pauseMs = 2900;
/** The timing of `RelayVm`, with a pause that is longer than `goneAfterMs`. */
const settings = {
    ...defaultMembershipSettings,
    tickMs: 200,
    heartbeatIntervalMs: 800,
    suspectAfterMs: 1600,
    goneAfterMs: 2600,
    probeIntervalMs: 400,
};

function createMember(vm: string) {
    return { vm, incarnation, availabilityZone: "a", region: "region", peerUrl: `ws://${vm}/peer`, processorShare: 1 };
}

function createHeartbeat(vm: string, isFirst = false): PeerMessage {
    const record = { ...createMember(vm), version: 1, state: "ready" as const, unreachableZones: [] };
    return { type: "heartbeat", incarnation, heardMs: 0, digest: 0, wantsHeartbeats: true, ...(isFirst ? { records: [record] } : {}) };
}

/** The table of one VM that has heartbeats from all others until `pausedAtMs`, and the VMs that it declares gone. */
class PausedVm {
    readonly goneVms: string[] = [];
    readonly pausedAtMs: number;
    readonly resumedAtMs: number;
    readonly table: MembershipTable;

    constructor() {
        this.table = new MembershipTable({
            self: createMember(selfVm),
            send: () => true,
            onEvent: ({ kind, subject }) => {
                if (kind === "gone") {
                    this.goneVms.push(subject);
                }
            },
            settings,
        }, startMs);
        let nowMs = startMs;
        for (let round = 0; round < 5; round++) {
            for (const vm of otherVms) {
                this.table.receive(vm, createHeartbeat(vm, round === 0), nowMs);
            }
            for (let elapsedMs = 0; elapsedMs < settings.heartbeatIntervalMs; elapsedMs += settings.tickMs) {
                nowMs += settings.tickMs;
                this.table.tick(nowMs);
            }
        }
        for (const vm of otherVms) {
            this.table.receive(vm, createHeartbeat(vm), nowMs + 50);
        }
        this.pausedAtMs = nowMs + 50;
        this.resumedAtMs = this.pausedAtMs + pauseMs;
    }

    tickUntil(fromMs: number, untilMs: number): void {
        for (let nowMs = fromMs; nowMs <= untilMs; nowMs += settings.tickMs) {
            this.table.tick(nowMs);
        }
    }
}

const firstActivities: readonly (readonly [string, (vm: PausedVm) => void])[] = [
    ["a tick", () => undefined],
    ["a heartbeat", ({ table, resumedAtMs }) => {
        table.receive("a-1", createHeartbeat("a-1"), resumedAtMs);
    }],
    ["a probe", ({ table, resumedAtMs }) => {
        table.receive("a-1", { type: "memberProbe", vm: "a-2", incarnation }, resumedAtMs);
    }],
    ["an opened link", ({ table, resumedAtMs }) => {
        table.handleLinkOpened("a-1", resumedAtMs);
    }],
];

for (const [name, runFirst] of firstActivities) {
    test(`a VM whose first activity after a pause is ${name} does not declare its neighbours gone for the silence during the pause`, () => {
        const vm = new PausedVm();
        runFirst(vm);
        vm.tickUntil(vm.resumedAtMs + 1, vm.resumedAtMs + settings.suspectAfterMs);
        expect(vm.goneVms).toEqual([]);
        vm.tickUntil(vm.resumedAtMs + settings.suspectAfterMs, vm.resumedAtMs + settings.goneAfterMs + 2 * settings.tickMs);
        expect(vm.goneVms.length).toBeGreaterThanOrEqual(2);
    });
}

test("a VM handling messages without a tick for longer than goneAfterMs does not declare its neighbours gone", () => {
    const vm = new PausedVm();
    const stallMs = 300;
    for (let nowMs = vm.pausedAtMs; nowMs < vm.resumedAtMs; nowMs += stallMs) {
        vm.table.receive("a-1", createHeartbeat("a-1"), nowMs);
    }
    vm.tickUntil(vm.resumedAtMs, vm.resumedAtMs + settings.suspectAfterMs);
    expect(vm.goneVms).toEqual([]);
});

test("a contact after a pause is not shifted by the pause: the VM is declared gone goneAfterMs after it", () => {
    const vm = new PausedVm();
    vm.tickUntil(vm.resumedAtMs, vm.resumedAtMs);
    for (const other of otherVms) {
        vm.table.receive(other, createHeartbeat(other), vm.resumedAtMs + 10);
    }
    const early = new PausedVm();
    for (const other of otherVms) {
        early.table.receive(other, createHeartbeat(other), early.resumedAtMs);
    }
    for (const paused of [vm, early]) {
        paused.tickUntil(paused.resumedAtMs + 100, paused.resumedAtMs + settings.goneAfterMs);
        expect(paused.goneVms).toEqual([]);
        paused.tickUntil(paused.resumedAtMs + settings.goneAfterMs + 20, paused.resumedAtMs + settings.goneAfterMs + 20);
        expect(paused.goneVms.length).toBeGreaterThanOrEqual(2);
    }
});
