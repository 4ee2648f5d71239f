import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FakePeerNetwork } from "../../../proof/fakes/FakePeerNetwork.js";
import type { Member } from "../../core/membership/Member.js";
import { selectByRendezvousHash } from "../../core/util/selectByRendezvousHash.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import type { Customer } from "../../schema/config/Customer.js";
import type { FleetMembership } from "./FleetMembership.js";
import { QuotaLimitService } from "./QuotaLimitService.js";

const vms = ["a-1", "a-2", "a-3", "b-1", "b-2", "b-3", "c-1", "c-2", "c-3"];
const customer: Customer = {
    name: "pumps",
    keyHashes: [],
    classes: ["short"],
    defaultClass: "short",
    requestsPerMinute: 600,
    tokensPerMinute: 60_000,
};
const ownerVm = selectByRendezvousHash(`quota ${customer.name}`, vms) as string;
const minuteMs = 60_000;
const tokensPerRequest = 50;

/** Membership whose members a test sets by hand. */
class FakeMembership implements FleetMembership {
    members: readonly Member[] = [];
    possiblyAliveCount = vms.length;
    private readonly listeners: (() => void)[] = [];

    setMembers(vmNames: readonly string[], possiblyAliveCount = vmNames.length): void {
        this.members = vmNames.map(vm => ({
            vm,
            incarnation: "1",
            availabilityZone: vm[0] as string,
            region: "region",
            peerUrl: "",
            processorShare: 1,
            state: "ready",
            configOffset: 0,
        }));
        this.possiblyAliveCount = possiblyAliveCount;
        for (const listener of this.listeners) {
            listener();
        }
    }

    onChange(listener: (members: readonly Member[]) => void): void {
        this.listeners.push(() => {
            listener(this.members);
        });
    }
}

/** Nine VMs that share the limits of one customer, with the times at which requests were sent and admitted at any of them. */
class Fleet {
    readonly scheduler = new VirtualScheduler();
    readonly network = new FakePeerNetwork(this.scheduler, 1);
    readonly memberships = new Map<string, FakeMembership>();
    readonly admittedAtMs: number[] = [];
    readonly sentAtMs: number[] = [];
    private readonly services = new Map<string, { readonly service: QuotaLimitService; readonly controller: AbortController; }>();

    constructor(private readonly limitedCustomer: Customer = customer) {
        for (const vm of vms) {
            const membership = new FakeMembership();
            membership.setMembers(vms);
            const service = new QuotaLimitService({
                vm,
                membership,
                links: this.network.linksOf(vm),
                scheduler: this.scheduler,
                findCustomer: () => this.limitedCustomer,
            });
            const controller = new AbortController();
            service.start(controller.signal);
            this.memberships.set(vm, membership);
            this.services.set(vm, { service, controller });
        }
    }

    crash(vm: string): void {
        this.services.get(vm)?.controller.abort();
        this.services.delete(vm);
        this.memberships.delete(vm);
        this.network.remove(vm);
    }

    /** Sends requests at random times, on average `requestsPerSecond` at each VM, for `durationMs`. A request lasts 100 ms. */
    async applyLoad(requestsPerSecond: ReadonlyMap<string, number>, durationMs: number, seed = 1): Promise<void> {
        const random = xoroshiro128plus(seed);
        const stepMs = 10;
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
            for (const [vm, rate] of requestsPerSecond) {
                if ((random.next() >>> 0) / 2 ** 32 < rate * stepMs / 1000) {
                    this.sendRequest(vm);
                }
            }
            await this.scheduler.advanceAsync(stepMs);
        }
    }

    sendRequest(vm: string): void {
        const running = this.services.get(vm);
        if (running === undefined) {
            return;
        }
        this.sentAtMs.push(this.scheduler.nowMs());
        void running.service.acquire(this.limitedCustomer, tokensPerRequest).map(admission => {
            this.admittedAtMs.push(this.scheduler.nowMs());
            this.scheduler.after(100, () => {
                admission.end(tokensPerRequest);
            }, running.controller.signal);
        });
    }

    /** Most requests admitted within any minute. */
    get maxAdmittedPerMinute(): number {
        return Math.max(0, ...this.admittedAtMs.map((start, index) => countWithinMinute(this.admittedAtMs, start, index)));
    }

    admittedBetween(fromMs: number, toMs: number): number {
        return this.admittedAtMs.filter(timeMs => timeMs >= fromMs && timeMs < toMs).length;
    }
}

function countWithinMinute(timesMs: readonly number[], startMs: number, index: number): number {
    let end = index;
    while (end < timesMs.length && (timesMs[end] as number) < startMs + minuteMs) {
        end++;
    }
    return end - index;
}

function createEvenRates(requestsPerSecond: number): Map<string, number> {
    return new Map(vms.map(vm => [vm, requestsPerSecond / vms.length]));
}

function createSkewedRates(requestsPerSecond: number): Map<string, number> {
    return new Map(vms.map((vm, index) => [vm, requestsPerSecond * [0.5, 0.2, 0.1, 0.1, 0.05, 0.05, 0, 0, 0][index]!]));
}

/** Times at which one central window would admit requests, as on a single VM that receives all the traffic. */
function simulateCentralWindow(sentAtMs: readonly number[]): number[] {
    const admitted: number[] = [];
    for (const timeMs of sentAtMs) {
        const admittedInWindow = admitted.filter(earlier => earlier > timeMs - minuteMs).length;
        if (admittedInWindow < requestLimit) {
            admitted.push(timeMs);
        }
    }
    return admitted;
}

/** Expects at most 1.1 times the limit in any minute, and in the given minutes at least 0.9 times what one central window admits. */
function expectAdmittedNearLimit(fleet: Fleet, minuteStartsMs: readonly number[]): void {
    expect(fleet.maxAdmittedPerMinute).toBeLessThanOrEqual(requestLimit * 1.1);
    const centrallyAdmittedMs = simulateCentralWindow(fleet.sentAtMs);
    for (const startMs of minuteStartsMs) {
        const centralCount = centrallyAdmittedMs.filter(timeMs => timeMs >= startMs && timeMs < startMs + minuteMs).length;
        expect(fleet.admittedBetween(startMs, startMs + minuteMs)).toBeGreaterThanOrEqual(centralCount * 0.9);
    }
}

const requestLimit = customer.requestsPerMinute as number;

for (const [name, requestsPerSecond] of [["even", createEvenRates(15)], ["skewed", createSkewedRates(15)]] as const) {
    test(`${name} load above the limit gets 0.9 to 1.1 times the limit, and at least 0.9 times what one central window admits`, async () => {
        for (const seed of [1, 2, 3]) {
            const fleet = new Fleet();
            await fleet.applyLoad(requestsPerSecond, 2 * minuteMs, seed);
            expectAdmittedNearLimit(fleet, [0, 15_000, 30_000, 45_000, minuteMs]);
            expect(fleet.admittedBetween(0, minuteMs)).toBeGreaterThanOrEqual(requestLimit * 0.9);
            expect(fleet.admittedBetween(minuteMs, 2 * minuteMs)).toBeGreaterThanOrEqual(requestLimit * 0.9);
        }
    });
}

test("random load at each VM gets at least 0.9 times what one central window admits", async () => {
    const rate = fc.oneof(fc.constant(0), fc.double({ min: 0.1, max: 6, noNaN: true }));
    await fc.assert(
        fc.asyncProperty(fc.array(rate, { minLength: vms.length, maxLength: vms.length }), fc.nat(1000), async (rates, seed) => {
            const fleet = new Fleet();
            await fleet.applyLoad(new Map(vms.map((vm, index) => [vm, rates[index] as number])), 100_000, seed);
            await fleet.scheduler.advanceAsync(1000);
            expectAdmittedNearLimit(fleet, [0, 20_000, 40_000]);
        }),
        { seed: 1, numRuns: 15 },
    );
});

test("load below the limit is never refused", async () => {
    const fleet = new Fleet();
    await fleet.applyLoad(createSkewedRates(8), 2 * minuteMs);
    await fleet.scheduler.advanceAsync(1000);
    expect(fleet.admittedAtMs.length).toEqual(fleet.sentAtMs.length);
});

test("a burst of a full minute's requests at one VM is admitted within seconds", async () => {
    const fleet = new Fleet();
    await fleet.applyLoad(new Map([["a-2", 90]]), 7000);
    expect(fleet.admittedAtMs.length).toBeGreaterThanOrEqual(requestLimit * 0.9);
    expect(fleet.maxAdmittedPerMinute).toBeLessThanOrEqual(requestLimit * 1.1);
});

test("the token limit applies to a customer without a request limit", async () => {
    const fleet = new Fleet({ ...customer, requestsPerMinute: undefined, tokensPerMinute: requestLimit * tokensPerRequest });
    await fleet.applyLoad(createSkewedRates(15), 2 * minuteMs);
    expect(fleet.maxAdmittedPerMinute).toBeLessThanOrEqual(requestLimit * 1.1);
    expect(fleet.admittedBetween(minuteMs, 2 * minuteMs)).toBeGreaterThanOrEqual(requestLimit * 0.9);
});

test("when the quota owner crashes, the customer still gets 0.9 to 1.1 times its limit in each minute", async () => {
    for (const requestsPerSecond of [createEvenRates(15), createSkewedRates(15)]) {
        const fleet = new Fleet();
        await fleet.applyLoad(requestsPerSecond, 90_000);
        fleet.crash(ownerVm);
        await fleet.applyLoad(requestsPerSecond, 1500);
        const survivors = vms.filter(vm => vm !== ownerVm);
        for (const membership of fleet.memberships.values()) {
            membership.setMembers(survivors);
        }
        await fleet.applyLoad(requestsPerSecond, 90_000);
        expectAdmittedNearLimit(fleet, [45_000, 60_000, 75_000, 90_000, 105_000, 120_000]);
    }
});

test("when the quota owner changes while a report is in flight, the customer gets at most 1.1 times its limit", async () => {
    const limitPerMinute = 100;
    const survivors = vms.filter(vm => vm !== ownerVm);
    const borrowerVm = survivors.find(vm => vm !== selectByRendezvousHash(`quota ${customer.name}`, survivors)) as string;
    const load = new Map([[borrowerVm, 10]]);
    for (const changedAfterMs of [0, 1, 2, 3]) {
        const fleet = new Fleet({ ...customer, requestsPerMinute: limitPerMinute, tokensPerMinute: undefined });
        await fleet.applyLoad(load, 20_000);
        await fleet.scheduler.advanceAsync(100);
        fleet.sendRequest(borrowerVm);
        await fleet.scheduler.advanceAsync(changedAfterMs);
        for (const membership of fleet.memberships.values()) {
            membership.setMembers(survivors);
        }
        await fleet.scheduler.advanceAsync(10);
        await fleet.applyLoad(load, 25_000);
        expect(fleet.admittedAtMs.length).toBeBetween(limitPerMinute * 0.9, limitPerMinute * 1.1);
    }
});

test("while an availability zone is partitioned, both sides together get at most 1.1 times the limit, and at least 0.9 times with load at every VM", async () => {
    const fleet = new Fleet();
    await fleet.applyLoad(createEvenRates(18), 90_000);
    const partitionedVms = vms.filter(vm => vm.startsWith("b"));
    const otherVms = vms.filter(vm => !vm.startsWith("b"));
    for (const partitionedVm of partitionedVms) {
        for (const otherVm of otherVms) {
            fleet.network.cut(partitionedVm, otherVm);
            fleet.network.cut(otherVm, partitionedVm);
        }
    }
    await fleet.applyLoad(createEvenRates(18), 1500);
    for (const [vm, membership] of fleet.memberships) {
        membership.setMembers(partitionedVms.includes(vm) ? partitionedVms : otherVms, vms.length);
    }
    await fleet.applyLoad(createEvenRates(18), 120_000);
    expectAdmittedNearLimit(fleet, [45_000, 60_000, 75_000, 90_000, 105_000, 120_000, 150_000]);
    fleet.network.heal();
    for (const membership of fleet.memberships.values()) {
        membership.setMembers(vms);
    }
    await fleet.applyLoad(createEvenRates(18), 90_000);
    expect(fleet.maxAdmittedPerMinute).toBeLessThanOrEqual(requestLimit * 1.1);
});

test("a VM that loses its links to all other VMs falls back to its even share at once", async () => {
    const fleet = new Fleet();
    const isolatedVm = vms.find(vm => vm !== ownerVm) as string;
    for (const vm of vms) {
        fleet.network.cut(isolatedVm, vm);
        fleet.network.cut(vm, isolatedVm);
    }
    await fleet.applyLoad(new Map([[isolatedVm, 10]]), minuteMs);
    expect(fleet.admittedAtMs.length).toBeGreaterThanOrEqual(Math.floor(requestLimit / vms.length * 0.9));
    expect(fleet.admittedAtMs.length).toBeLessThanOrEqual(Math.ceil(requestLimit / vms.length * 1.1));
});

test("in-flight requests of all VMs together stay within the concurrency limit", async () => {
    const fleet = new Fleet({ ...customer, requestsPerMinute: undefined, tokensPerMinute: undefined, concurrentRequests: 18 });
    let maxInFlight = 0;
    for (let step = 0; step < 100; step++) {
        await fleet.applyLoad(createEvenRates(900), 100);
        const nowMs = fleet.scheduler.nowMs();
        maxInFlight = Math.max(maxInFlight, fleet.admittedBetween(nowMs - 99, nowMs + 1));
    }
    expect(maxInFlight).toBeBetween(1, 18);
});

test("a customer without traffic causes no messages", async () => {
    const fleet = new Fleet();
    await fleet.applyLoad(createEvenRates(5), 5000);
    await fleet.scheduler.advanceAsync(10_000);
    const before = fleet.network.messageCount;
    await fleet.scheduler.advanceAsync(30_000);
    expect(fleet.network.messageCount - before).toEqual(0);
});

test("bursts far below the limits are never refused, before and after the quota owner crashes", async () => {
    const fleet = new Fleet({ ...customer, requestsPerMinute: 6_000, tokensPerMinute: 3_000_000, concurrentRequests: 500 });
    const borrowerVms = vms.filter(vm => vm !== ownerVm).slice(0, 2) as [string, string];
    const sendBurst = async (size: number, spacingMs: number): Promise<void> => {
        for (let index = 0; index < size; index++) {
            borrowerVms.forEach(vm => {
                fleet.sendRequest(vm);
            });
            await fleet.scheduler.advanceAsync(spacingMs);
        }
    };
    for (let round = 0; round < 10; round++) {
        await sendBurst(12, round % 2);
        await fleet.scheduler.advanceAsync(30 * round);
    }
    fleet.crash(ownerVm);
    for (let round = 0; round < 10; round++) {
        await sendBurst(6, round % 2);
        await fleet.scheduler.advanceAsync(100 * round);
    }
    await fleet.scheduler.advanceAsync(2_000);
    expect(fleet.admittedAtMs.length).toEqual(360);
});
