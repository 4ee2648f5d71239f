import { expect } from "earl";
import { afterEach, test } from "node:test";
import { SwallowingProxy } from "../../../standins/proxy/SwallowingProxy.js";
import { defaultMembershipSettings as settings } from "../../core/membership/defaultMembershipSettings.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { defaultPeerLinkLimits } from "../peer/defaultPeerLinkLimits.js";
import { WebSocketPeerLinks } from "../peer/WebSocketPeerLinks.js";
import { GossipMembership } from "./GossipMembership.js";

/** Compression runs in threads of the pool, whose end `settle` could not see. */
const limits = { ...defaultPeerLinkLimits, compressFromBytes: Infinity };
const stepMs = 10;
/** Far longer in virtual time than anything awaited here takes. */
const maxWaitMs = 60_000;
/** Turns of the event loop without traffic after which all sent bytes have been handled. */
const quietTurns = 100;
let stop = new AbortController();
let scheduler = new VirtualScheduler();
let startedVms: StartedVm[] = [];

afterEach(() => {
    stop.abort();
    stop = new AbortController();
    scheduler = new VirtualScheduler();
    startedVms = [];
});

interface StartedVm {
    readonly membership: GossipMembership;
    readonly links: WebSocketPeerLinks;
    readonly stop: AbortController;
    readonly proxy: SwallowingProxy;
    readonly url: string;
}

/** Starts a VM whose peers reach it through a proxy. */
async function startVm(vm: string, seeds: readonly string[], incarnation = "1"): Promise<StartedVm> {
    const controller = new AbortController();
    stop.signal.addEventListener("abort", () => {
        controller.abort();
    });
    const links = new WebSocketPeerLinks({
        self: { vm, incarnation },
        listenHost: "127.0.0.1",
        listenPort: 0,
        sharedKey: "shared",
        scheduler,
        limits,
    });
    const proxy = new SwallowingProxy((await links.start(controller.signal))._unsafeUnwrap());
    const url = `ws://127.0.0.1:${await proxy.start(controller.signal)}/peer`;
    const self = { vm, incarnation, availabilityZone: "nadi", region: "fiji", peerUrl: url, processorShare: 1 };
    const membership = new GossipMembership({ self, seeds, links, scheduler });
    membership.start(controller.signal);
    membership.updateLocalMember({ state: "ready" });
    const started = { membership, links, stop: controller, proxy, url };
    startedVms.push(started);
    return started;
}

/** Lets the sockets work until nothing has been sent, received or accepted for `quietTurns` turns of the event loop. */
async function settle(): Promise<void> {
    let activity = -1;
    for (let turns = 0; turns < quietTurns; turns++) {
        await new Promise(resolve => setImmediate(resolve));
        const newActivity = startedVms.reduce(
            (sum, { links, proxy }) => sum + links.sentBytes + links.receivedBytes + proxy.acceptedCount,
            0,
        );
        if (newActivity !== activity) {
            activity = newActivity;
            turns = 0;
        }
    }
}

/** Moves virtual time forward; the sockets are idle before each step, however slow the machine is. */
async function advance(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
        await settle();
        scheduler.advance(stepMs);
    }
    await settle();
}

async function advanceUntil(condition: () => boolean): Promise<void> {
    for (let passedMs = 0; !condition(); passedMs += stepMs) {
        if (passedMs > maxWaitMs) {
            throw new Error("condition was not met within 60 s of virtual time");
        }
        await advance(stepMs);
    }
}

function formatMembers(vm: StartedVm): string {
    return vm.membership.members.map(member => `${member.vm}:${member.incarnation}:${member.state}`).join(" ");
}

const allReady = "vm-1:1:ready vm-2:1:ready vm-3:1:ready";

async function startThreeVms(): Promise<[StartedVm, StartedVm, StartedVm]> {
    const first = await startVm("vm-1", []);
    const second = await startVm("vm-2", [first.url]);
    const third = await startVm("vm-3", [first.url]);
    await advanceUntil(() => [first, second, third].every(vm => formatMembers(vm) === allReady));
    return [first, second, third];
}

function countAccepted(vms: readonly StartedVm[]): number {
    return vms.reduce((sum, vm) => sum + vm.proxy.acceptedCount, 0);
}

test("VMs with one seed in common discover each other, and observe a drain, a crash and a replacement", async () => {
    const [first, second, third] = await startThreeVms();
    third.membership.updateLocalMember({ state: "draining" });
    await advanceUntil(() => [first, second].every(vm => formatMembers(vm).includes("vm-3:1:draining")));
    third.stop.abort();
    await advanceUntil(() => [first, second].every(vm => formatMembers(vm) === "vm-1:1:ready vm-2:1:ready"));
    const replacement = await startVm("vm-3", [second.url], "2");
    await advanceUntil(() => [first, second, replacement].every(vm => formatMembers(vm) === "vm-1:1:ready vm-2:1:ready vm-3:2:ready"));
});

test("connections that swallow bytes are replaced before a VM is given up", async () => {
    const vms = await startThreeVms();
    await advance(settings.goneAfterMs);
    const observedMembers = new Set<string>();
    for (const vm of vms) {
        vm.membership.onChange(() => observedMembers.add(formatMembers(vm)), stop.signal);
    }
    for (const direction of ["up", "down", "both"] as const) {
        const acceptedCount = countAccepted(vms);
        for (const vm of vms) {
            vm.proxy.swallow(direction);
        }
        await advance(settings.goneAfterMs);
        expect(countAccepted(vms) - acceptedCount).toBeGreaterThanOrEqual(3);
        await advance(1.3 * settings.goneAfterMs);
        expect(vms.map(formatMembers)).toEqual([allReady, allReady, allReady]);
    }
    expect([...observedMembers].filter(members => members !== allReady)).toEqual([]);
});

test("with maxDialsWhenAlone 1, a VM without peers dials all seeds one at a time, and the VM id decides which comes first", () => {
    const seeds = ["ws://a:1", "ws://b:1", "ws://c:1"];
    const firstDialed = new Set<string>();
    for (let index = 0; index < 40; index++) {
        const dialed: string[] = [];
        const links = {
            send: () => false,
            onMessage: () => undefined,
            setAddress: () => undefined,
            onLinkOpened: () => undefined,
            dialAddress: (url: string) => dialed.push(url),
            request: () => {
                throw new Error("request is not stubbed in this test");
            },
        };
        const self = {
            vm: `front-mvd-a-${index}`,
            incarnation: "1",
            availabilityZone: "mvd-a",
            region: "montevideo",
            peerUrl: "ws://self:1",
            processorShare: 1,
        };
        const scheduler = new VirtualScheduler();
        new GossipMembership({ self, seeds, links, scheduler, maxDialsWhenAlone: 1 }).start(stop.signal);
        firstDialed.add(dialed.join());
        scheduler.advance(2_500);
        expect([...dialed].sort()).toEqual(seeds);
    }
    expect([...firstDialed].sort()).toEqual(seeds);
});
