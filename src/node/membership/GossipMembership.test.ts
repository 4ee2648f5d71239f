import { expect } from "earl";
import { afterEach, test } from "node:test";
import { until } from "../../../proof/fakes/until.js";
import { SwallowingProxy } from "../../../standins/proxy/SwallowingProxy.js";
import { defaultMembershipSettings } from "../../core/membership/defaultMembershipSettings.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { defaultPeerLinkLimits } from "../peer/defaultPeerLinkLimits.js";
import { WebSocketPeerLinks } from "../peer/WebSocketPeerLinks.js";
import { SystemScheduler } from "../timers/SystemScheduler.js";
import { GossipMembership } from "./GossipMembership.js";

const settings = {
    ...defaultMembershipSettings,
    tickMs: 20,
    heartbeatIntervalMs: 60,
    suspectAfterMs: 400,
    goneAfterMs: 1000,
    probeIntervalMs: 100,
};
const limits = { ...defaultPeerLinkLimits, pingAfterMs: 80, silentAfterMs: 150, redialAfterMs: 50 };
let stop = new AbortController();

afterEach(() => {
    stop.abort();
    stop = new AbortController();
});

interface StartedVm {
    readonly membership: GossipMembership;
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
    const scheduler = new SystemScheduler();
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
    const self = { vm, incarnation, availabilityZone: "nadi", region: "fiji", peerUrl: url };
    const membership = new GossipMembership({ self, seeds, links, scheduler, settings });
    membership.start(controller.signal);
    membership.updateLocalMember({ state: "ready" });
    return { membership, stop: controller, proxy, url };
}

function formatMembers(vm: StartedVm): string {
    return vm.membership.members.map(member => `${member.vm}:${member.incarnation}:${member.state}`).join(" ");
}

const allReady = "vm-1:1:ready vm-2:1:ready vm-3:1:ready";

async function startThreeVms(): Promise<[StartedVm, StartedVm, StartedVm]> {
    const first = await startVm("vm-1", []);
    const second = await startVm("vm-2", [first.url]);
    const third = await startVm("vm-3", [first.url]);
    await until(() => [first, second, third].every(vm => formatMembers(vm) === allReady));
    return [first, second, third];
}

test("VMs with one seed in common discover each other, and observe a drain, a crash and a replacement", { timeout: 20_000 }, async () => {
    const [first, second, third] = await startThreeVms();
    third.membership.updateLocalMember({ state: "draining" });
    await until(() => [first, second].every(vm => formatMembers(vm).includes("vm-3:1:draining")));
    third.stop.abort();
    await until(() => [first, second].every(vm => formatMembers(vm) === "vm-1:1:ready vm-2:1:ready"));
    const replacement = await startVm("vm-3", [second.url], "2");
    await until(() => [first, second, replacement].every(vm => formatMembers(vm) === "vm-1:1:ready vm-2:1:ready vm-3:2:ready"));
});

test("connections that swallow bytes are replaced before a VM is given up", { timeout: 20_000 }, async () => {
    const vms = await startThreeVms();
    const observedMembers = new Set<string>();
    for (const vm of vms) {
        vm.membership.onChange(() => observedMembers.add(formatMembers(vm)), stop.signal);
    }
    for (const direction of ["up", "down", "both"] as const) {
        const acceptedCounts = vms.map(vm => vm.proxy.acceptedCount);
        for (const vm of vms) {
            vm.proxy.swallow(direction);
        }
        await until(() =>
            vms.reduce((sum, vm) => sum + vm.proxy.acceptedCount, 0) >= acceptedCounts.reduce((sum, count) => sum + count, 0) + 3
        );
        await new Promise(resolve => setTimeout(resolve, 1.3 * settings.goneAfterMs));
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
        };
        const scheduler = new VirtualScheduler();
        new GossipMembership({ self, seeds, links, scheduler, maxDialsWhenAlone: 1 }).start(stop.signal);
        firstDialed.add(dialed.join());
        scheduler.advance(2_500);
        expect([...dialed].sort()).toEqual(seeds);
    }
    expect([...firstDialed].sort()).toEqual(seeds);
});
