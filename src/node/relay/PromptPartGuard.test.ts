import { expect } from "earl";
import { errAsync } from "neverthrow";
import { test } from "node:test";
import type { Member } from "../../core/membership/Member.js";
import { choosePlacementVm } from "../../core/relay/choosePlacementVm.js";
import { exampleUpstream } from "../../core/relay/testing/exampleUpstream.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { PromptPartGuard } from "./PromptPartGuard.js";

const signal = new AbortController().signal;
const service = "engines";
const parts = ["common", "deadly"];

type Handler = (from: string, message: PeerMessage) => unknown;

/** Connects the guards of a fleet; clocks differ by a second from VM to VM. Engines are down unless `areEnginesUp`. */
async function startFleet(size: number, areEnginesUp = false) {
    const members = [...Array(size).keys()].map(index => ({ vm: `vm-${index}`, processorShare: 1, state: "ready" }) as Member);
    const schedulers = members.map(() => new VirtualScheduler());
    const handlers = new Map<string, Handler>();
    const openListeners = new Map<string, (vm: string) => void>();
    const sentBy = new Map<string, number>();
    const guards = await Promise.all(members.map(async ({ vm }, index) => {
        const scheduler = schedulers[index] as VirtualScheduler;
        await scheduler.advanceAsync(index * 1_000);
        const guard = new PromptPartGuard({
            vm,
            scheduler,
            membership: { members },
            probeJitter: 0,
            isDown: () => Promise.resolve(!areEnginesUp),
            links: {
                send: (to, message) => {
                    sentBy.set(vm, (sentBy.get(vm) ?? 0) + 1);
                    handlers.get(to)?.(vm, message);
                    return true;
                },
                request: () => errAsync({ kind: "no-link", message: "no requests here" }),
                onMessage: (...[, handler]) => handlers.set(vm, handler as unknown as Handler),
                onLinkOpened: listener => openListeners.set(vm, listener),
            },
        });
        guard.start(signal);
        return guard;
    }));
    const advance = (durationMs: number) => Promise.all(schedulers.map(scheduler => scheduler.advanceAsync(durationMs)));
    const crash = async (vm: number, engine: string) => {
        const sentMs = (schedulers[vm] as VirtualScheduler).nowMs();
        await advance(100);
        void guards[vm]?.recordBrokenCall(exampleUpstream(engine, { service }), { partIds: parts, sentMs });
        await advance(100);
    };
    return { members, guards, advance, crash, sentBy, openListeners, nowMs: (vm: number) => schedulers[vm]?.nowMs() ?? 0 };
}

const admissions = (guards: readonly PromptPartGuard[]) => guards.map(guard => guard.isQuarantined(parts));

for (const size of [3, 40]) {
    test(`a part that crashed engines of two VMs is quarantined on all ${size} VMs`, async () => {
        const { members, guards, crash, sentBy } = await startFleet(size);
        await crash(1, "e1");
        expect(new Set(admissions(guards))).toEqual(new Set([false]));
        await crash(2, "e2");
        expect(new Set(admissions(guards))).toEqual(new Set([true]));
        const placementVm = choosePlacementVm(service, members);
        const senders = [...sentBy].filter(([vm]) => vm !== placementVm).map(([, count]) => count);
        expect(Math.max(...senders) <= (size === 40 ? 1 : 2)).toEqual(true);
    });
}

test("a part that an engine has begun to answer since the crash is not quarantined by the next crash", async () => {
    const { guards, crash, nowMs } = await startFleet(3);
    await crash(1, "e1");
    guards[2]?.recordAnswer(parts, service, nowMs(2));
    await crash(0, "e2");
    expect(admissions(guards)).toEqual([false, false, false]);
});

test("one VM at a time probes a quarantined part, and its answer ends the quarantine on all VMs", async () => {
    const { guards, crash, advance, nowMs } = await startFleet(3);
    await crash(1, "e1");
    await crash(2, "e2");
    await advance(10_000);
    expect(guards.map(guard => guard.admit(parts, service, "r-1").kind)).toEqual(["probe", "quarantined", "quarantined"]);
    guards[0]?.recordAnswer(parts, service, nowMs(0));
    expect(admissions(guards)).toEqual([false, false, false]);
});

test("a VM whose link opens after the crashes learns what is quarantined", async () => {
    const { guards, crash, openListeners, members } = await startFleet(3);
    const late = members.pop();
    await crash(0, "e1");
    await crash(1, "e2");
    expect(admissions(guards)).toEqual([true, true, false]);
    openListeners.get("vm-0")?.(late?.vm ?? "");
    expect(admissions(guards)).toEqual([true, true, true]);
});

test("a VM that was cut off when a part was cleared does not have the others refuse it again", async () => {
    const { guards, crash, openListeners, members, nowMs, advance } = await startFleet(3);
    await crash(0, "e1");
    await crash(1, "e2");
    const late = members.pop();
    await advance(100);
    guards[0]?.recordAnswer(parts, service, nowMs(0));
    expect(admissions(guards)).toEqual([false, false, true]);
    members.push(late as Member);
    openListeners.get("vm-2")?.("vm-1");
    expect(admissions(guards)).toEqual([false, false, false]);
});

test("broken calls on engines that accept connections quarantine nothing", async () => {
    const { guards, crash } = await startFleet(3, true);
    await crash(0, "e1");
    await crash(1, "e2");
    expect(admissions(guards)).toEqual([false, false, false]);
});
