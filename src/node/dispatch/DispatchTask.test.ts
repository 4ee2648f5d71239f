import { expect } from "earl";
import { errAsync } from "neverthrow";
import { describe, test } from "node:test";
import type { ConfigView } from "../../core/config/ConfigView.js";
import type { Member } from "../../core/membership/Member.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { Grant } from "../services/Grant.js";
import type { PeerLinks } from "../services/PeerLinks.js";
import { DispatchTask } from "./DispatchTask.js";
import { exampleTicket } from "./testing/exampleTicket.js";

const maxQueueMs = 10_000;

const zones = ["lautoka", "nadi", "ba"];

function createConfigView(engineCount: number, maxInFlight: number): ConfigView {
    const upstreams = Array.from(Array(engineCount).keys(), index => ({
        id: `engine-${index}`,
        url: "http://127.0.0.1:1",
        availabilityZone: zones[index % zones.length] as string,
        leaving: false,
    }));
    const urgent = {
        name: "urgent",
        tier: 0,
        firstTokenTargetMs: 450,
        tokenGapTargetMs: 35,
        objective: 0.95,
        maxQueueMs: 10_000,
        floorShare: 0,
        refuseEarly: false,
        defaultMaxOutputTokens: 100,
    };
    const pool = {
        name: "pumps",
        path: "new" as const,
        kind: "engine" as const,
        services: ["pumpline-model"],
        upstreams,
        repeatable: true,
        deduplicatesByKey: false,
        checksFencing: false,
        maxInFlight,
        placements: [],
    };
    return {
        offset: 1,
        serviceClasses: new Map([["urgent", urgent]]),
        customers: new Map(),
        pools: new Map([["pumps", pool]]),
        pathShares: new Map(),
    };
}

interface Vm {
    readonly id: string;
    readonly task: DispatchTask;
    readonly handlers: Map<string, (from: string, message: PeerMessage) => void>;
    members: Member[];
    notify: (members: readonly Member[]) => void;
    /** Messages that arrived while the VM was paused; undefined while it is running. */
    heldMessages: (() => void)[] | undefined;
    isDown: boolean;
}

/** Dispatch tasks of several VMs that exchange messages in memory, with pauses, crashes and membership changes. */
class Fleet {
    readonly scheduler = new VirtualScheduler();
    readonly controller = new AbortController();
    readonly vms = new Map<string, Vm>();
    private requestCount = 0;
    /** Whether engines in zones without members accept connections. */
    canReachAllZones = true;

    constructor(vmIds: readonly string[], readonly view: ConfigView) {
        const members = vmIds.map((vm, index) => createMember(vm, zones[index % zones.length] as string));
        for (const id of vmIds) {
            this.vms.set(id, this.createVm(id, members));
        }
        for (const vm of this.vms.values()) {
            vm.task.start(this.controller.signal);
        }
    }

    vm(id: string): Vm {
        return this.vms.get(id) as Vm;
    }

    acquire(
        vm: string,
        requestId = `request-${this.requestCount++}`,
    ): { requestId: string; granted: Promise<Grant | string>; } {
        const result = this.vm(vm).task.acquire(exampleTicket(requestId, vm, maxQueueMs), this.controller.signal);
        return {
            requestId,
            granted: Promise.resolve(result).then(outcome => outcome.match<Grant | string>(grant => grant, refusal => refusal.kind)),
        };
    }

    /** The running VMs that host a dispatcher of the pool. */
    listDispatchers(): string[] {
        return [...this.vms.values()].filter(vm => !vm.isDown && vm.task.describe().length > 0).map(vm => vm.id);
    }

    /** Counts the tickets queued and the grants in flight at these VMs' dispatchers, as a re-offered ticket may be granted at once. */
    countTicketsAt(vms: readonly string[]): number {
        let count = 0;
        for (const shard of vms.flatMap(vm => this.vm(vm).task.describe())) {
            count += shard.waiting + [...shard.inFlight.values()].reduce((sum, inFlight) => sum + inFlight, 0);
        }
        return count;
    }

    crash(id: string): void {
        this.vm(id).isDown = true;
    }

    setMembers(vms: readonly string[], members: readonly string[], state: "ready" | "draining" = "ready"): void {
        for (const id of vms) {
            const vm = this.vm(id);
            vm.members = members.map((member, index) => ({ ...createMember(member, zones[index % zones.length] as string), state }));
            vm.notify(vm.members);
        }
    }

    run(durationMs: number): Promise<void> {
        return this.scheduler.advanceAsync(durationMs);
    }

    private createVm(id: string, members: Member[]): Vm {
        const handlers: Vm["handlers"] = new Map();
        const links: PeerLinks = {
            send: (to, message) => this.deliver(id, to, message),
            request: () => errAsync({ kind: "no-link", message: "request is not stubbed in this test" }),
            onMessage: (type, handler) => {
                handlers.set(type, (from, message) => void handler(from, message as never));
            },
        };
        const view = this.view;
        const vm: Vm = { id, handlers, members, notify: () => undefined, heldMessages: undefined, isDown: false, task: undefined as never };
        const task = new DispatchTask({
            vm: id,
            incarnation: "1",
            scheduler: this.scheduler,
            random: () => 0.5,
            links,
            config: {
                view,
                isReady: true,
                onChange: () => undefined,
                apply: () => errAsync({ kind: "invalid", message: "" }),
                findRevision: () => 0,
            },
            membership: {
                get members() {
                    return vm.members;
                },
                onChange: listener => {
                    vm.notify = listener;
                },
            },
            recorder: { record: () => undefined },
            canConnect: () => Promise.resolve(this.canReachAllZones),
        });
        return Object.assign(vm, { task });
    }

    private deliver(from: string, to: string, message: PeerMessage): boolean {
        const sender = this.vm(from);
        const receiver = this.vms.get(to);
        if (receiver === undefined || receiver.isDown || sender.isDown) {
            return false;
        }
        const arrive = () => {
            if (!receiver.isDown) {
                receiver.handlers.get(message.type)?.(from, message);
            }
        };
        this.scheduler.after(1, () => {
            if (receiver.heldMessages !== undefined) {
                receiver.heldMessages.push(arrive);
            }
            else {
                arrive();
            }
        }, this.controller.signal);
        return true;
    }
}

function createMember(vm: string, availabilityZone: string): Member {
    return { vm, incarnation: "1", availabilityZone, region: "fiji-west", peerUrl: "", processorShare: 1, state: "ready", configOffset: 1 };
}

function expectGrant(outcome: Grant | string): Grant {
    if (typeof outcome === "string") {
        throw new Error(`expected a grant, got ${outcome}`);
    }
    return outcome;
}

const vmIds = ["lautoka-1", "nadi-1", "ba-1"];

describe("DispatchTask", () => {
    test("all VMs offer a pool's tickets to one dispatcher, which grants no more than its engines have slots", async () => {
        const fleet = new Fleet(vmIds, createConfigView(2, 1));
        const requests = [...vmIds, ...vmIds].map(vm => fleet.acquire(vm));
        await fleet.run(100);
        expect(fleet.listDispatchers().length).toEqual(1);
        const first = await Promise.race(requests.map(request => request.granted));
        const settled = await countSettled(requests.map(request => request.granted));
        expect(settled).toEqual(2);
        expectGrant(first).end({ result: "completed", outputTokens: 1 });
        await fleet.run(10);
        expect(await countSettled(requests.map(request => request.granted))).toEqual(3);
    });

    test("tickets queued at a dispatcher that crashes are granted by the next one", async () => {
        const fleet = new Fleet(vmIds, createConfigView(1, 1));
        const first = fleet.acquire("nadi-1");
        await fleet.run(10);
        const [dispatcher] = fleet.listDispatchers() as [string];
        const entry = vmIds.find(vm => vm !== dispatcher) as string;
        const waiting = fleet.acquire(entry);
        await fleet.run(10);
        const running = expectGrant(await first.granted);
        fleet.crash(dispatcher);
        await fleet.run(500);
        running.end({ result: "completed", outputTokens: 1 });
        await fleet.run(500);
        expectGrant(await waiting.granted);
        expect(fleet.listDispatchers().length).toEqual(1);
    });

    for (const fault of ["crash", "pause"] as const) {
        test(`after a ${fault} of the dispatcher, every waiting ticket is re-offered to another one within 2 s`, async () => {
            const fleet = new Fleet(vmIds, createConfigView(1, 1));
            const first = fleet.acquire("nadi-1");
            await fleet.run(10);
            const grant = expectGrant(await first.granted);
            const [dispatcher] = fleet.listDispatchers() as [string];
            const entries = vmIds.filter(vm => vm !== dispatcher);
            const waiting = entries.flatMap(vm => Array.from(Array(5).keys(), () => fleet.acquire(vm)));
            await fleet.run(10);
            if (fault === "crash") {
                fleet.crash(dispatcher);
            }
            else {
                fleet.vm(dispatcher).heldMessages = [];
            }
            const faultMs = fleet.scheduler.nowMs();
            const hasAllTickets = () => fleet.countTicketsAt(entries) === waiting.length;
            while (!hasAllTickets() && fleet.scheduler.nowMs() - faultMs < 2_000) {
                await fleet.run(10);
            }
            expect(hasAllTickets()).toEqual(true);
            grant.end({ result: "completed", outputTokens: 1 });
        });
    }

    test("tickets skip a paused dispatcher, and grants that it sends after resuming are released", async () => {
        const fleet = new Fleet(vmIds, createConfigView(1, 1));
        const probe = fleet.acquire("nadi-1");
        await fleet.run(10);
        expectGrant(await probe.granted).end({ result: "completed", outputTokens: 1 });
        await fleet.run(10);
        const [dispatcher] = fleet.listDispatchers() as [string];
        const paused = fleet.vm(dispatcher);
        paused.heldMessages = [];
        const entry = vmIds.find(vm => vm !== dispatcher) as string;
        const request = fleet.acquire(entry);
        await fleet.run(1_000);
        const grant = expectGrant(await request.granted);
        const heldMessages = paused.heldMessages;
        paused.heldMessages = undefined;
        heldMessages.forEach(arrive => {
            arrive();
        });
        await fleet.run(100);
        grant.end({ result: "completed", outputTokens: 1 });
        await fleet.run(100);
        for (const vm of fleet.vms.values()) {
            for (const shard of vm.task.describe()) {
                expect([...shard.inFlight.values()].reduce((sum, count) => sum + count, 0)).toEqual(0);
            }
        }
    });

    test("a draining dispatcher refuses tickets of other VMs, which offer them to the next VM at once", async () => {
        const fleet = new Fleet(vmIds, createConfigView(1, 1));
        const probe = fleet.acquire("nadi-1");
        await fleet.run(10);
        expectGrant(await probe.granted).end({ result: "completed", outputTokens: 1 });
        const [dispatcher] = fleet.listDispatchers() as [string];
        fleet.vm(dispatcher).task.drain();
        const entry = vmIds.find(vm => vm !== dispatcher) as string;
        const request = fleet.acquire(entry);
        await fleet.run(20);
        expectGrant(await request.granted);
        expect(fleet.listDispatchers().length).toEqual(2);
    });

    test("a VM that is partitioned from all others dispatches its own tickets", async () => {
        const fleet = new Fleet(vmIds, createConfigView(3, 1));
        fleet.crash("lautoka-1");
        fleet.crash("ba-1");
        fleet.setMembers(["nadi-1"], ["nadi-1"]);
        const request = fleet.acquire("nadi-1");
        await fleet.run(10);
        expectGrant(await request.granted);
    });

    test("engines of a partitioned zone get no requests until its VMs are members again", async () => {
        const fleet = new Fleet(vmIds, createConfigView(3, 8));
        fleet.canReachAllZones = false;
        fleet.setMembers(["lautoka-1", "nadi-1"], ["lautoka-1", "nadi-1"]);
        const during = [0, 1, 2, 3].map(() => fleet.acquire("nadi-1"));
        await fleet.run(10);
        const zonesDuring = (await Promise.all(during.map(request => request.granted))).map(grant =>
            expectGrant(grant).upstream.availabilityZone
        );
        expect(zonesDuring.includes("ba")).toEqual(false);
        fleet.setMembers(vmIds, vmIds);
        const after = Array.from(Array(8).keys()).map(() => fleet.acquire("nadi-1"));
        await fleet.run(10);
        const zonesAfter = (await Promise.all(after.map(request => request.granted))).map(grant =>
            expectGrant(grant).upstream.availabilityZone
        );
        expect(zonesAfter.includes("ba")).toEqual(true);
    });

    test("the slots held by a crashed entry VM are freed when it is removed from the members", async () => {
        const fleet = new Fleet(vmIds, createConfigView(1, 1));
        const probe = fleet.acquire("nadi-1");
        await fleet.run(10);
        expectGrant(await probe.granted).end({ result: "completed", outputTokens: 1 });
        await fleet.run(10);
        const [dispatcher] = fleet.listDispatchers() as [string];
        const [crashing, other] = vmIds.filter(vm => vm !== dispatcher) as [string, string];
        expectGrant(await acquireOutcome(fleet, crashing));
        const waiting = fleet.acquire(other);
        await fleet.run(100);
        expect(await countSettled([waiting.granted])).toEqual(0);
        fleet.crash(crashing);
        fleet.setMembers([dispatcher, other], [dispatcher, other]);
        await fleet.run(10);
        expectGrant(await waiting.granted);
    });

    test("a request that is offered again is granted although the grantEnd of its first grant was lost", async () => {
        const fleet = new Fleet(vmIds, createConfigView(1, 4));
        const probe = fleet.acquire("nadi-1");
        await fleet.run(10);
        expectGrant(await probe.granted).end({ result: "completed", outputTokens: 1 });
        const [dispatcher] = fleet.listDispatchers() as [string];
        // The first dispatcher refuses, so that the second grants a later attempt.
        fleet.vm(dispatcher).task.drain();
        const others = vmIds.filter(vm => vm !== dispatcher);
        expectGrant(await acquireOutcome(fleet, others[0] as string)).end({ result: "completed", outputTokens: 1 });
        await fleet.run(10);
        const secondDispatcher = fleet.listDispatchers().find(vm => vm !== dispatcher) as string;
        const entry = others.find(vm => vm !== secondDispatcher) as string;
        await fleet.run(2_000);
        const first = fleet.acquire(entry, "moved");
        await fleet.run(10);
        const grant = expectGrant(await first.granted);
        fleet.vm(secondDispatcher).heldMessages = [];
        grant.end({ result: "failed", outputTokens: 0 });
        await fleet.run(10);
        fleet.vm(secondDispatcher).heldMessages = undefined;
        const again = fleet.acquire(entry, "moved");
        await fleet.run(100);
        expectGrant(await again.granted);
    });

    test("an upstream that the platform's list marks as leaving gets no new requests", async () => {
        const fleet = new Fleet(vmIds, createConfigView(2, 4));
        for (const vm of fleet.vms.values()) {
            vm.task.setLeavingUpstreams(new Set(["engine-0"]));
        }
        const requests = [0, 1, 2, 3].map(() => fleet.acquire("nadi-1"));
        await fleet.run(10);
        const grants = await Promise.all(requests.map(request => request.granted));
        expect(grants.map(grant => expectGrant(grant).upstream.id)).toEqual(Array(4).fill("engine-1"));
    });
});

async function acquireOutcome(fleet: Fleet, vm: string): Promise<Grant | string> {
    const request = fleet.acquire(vm);
    await fleet.run(10);
    return request.granted;
}

async function countSettled(promises: readonly Promise<unknown>[]): Promise<number> {
    let settled = 0;
    for (const promise of promises) {
        void promise.then(() => settled++);
    }
    await new Promise(resolve => setImmediate(resolve));
    return settled;
}
