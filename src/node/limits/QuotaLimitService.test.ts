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
const owner = selectByRendezvousHash(`quota ${customer.name}`, vms) as string;
const minuteMs = 60_000;
const tokensEach = 50;

/** A view of the fleet that a test sets by hand, as membership would tell it. */
class FakeView implements FleetMembership {
    members: readonly Member[] = [];
    possiblyAliveCount = vms.length;
    private readonly listeners: (() => void)[] = [];

    set(names: readonly string[], possiblyAliveCount = names.length): void {
        this.members = names.map(vm => ({
            vm,
            incarnation: "1",
            availabilityZone: vm[0] as string,
            region: "region",
            peerUrl: "",
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

/** Nine VMs that share the limits of one customer, and every time at which one of them let a request through. */
class Fleet {
    readonly scheduler = new VirtualScheduler();
    readonly network = new FakePeerNetwork(this.scheduler, 1);
    readonly views = new Map<string, FakeView>();
    readonly admittedMs: number[] = [];
    readonly wantedMs: number[] = [];
    private readonly services = new Map<string, { readonly service: QuotaLimitService; readonly stop: AbortController; }>();

    constructor(private readonly limited: Customer = customer) {
        for (const vm of vms) {
            const view = new FakeView();
            view.set(vms);
            const service = new QuotaLimitService({
                vm,
                membership: view,
                links: this.network.linksOf(vm),
                scheduler: this.scheduler,
                customerOf: () => this.limited,
            });
            const stop = new AbortController();
            service.start(stop.signal);
            this.views.set(vm, view);
            this.services.set(vm, { service, stop });
        }
    }

    crash(vm: string): void {
        this.services.get(vm)?.stop.abort();
        this.services.delete(vm);
        this.views.delete(vm);
        this.network.remove(vm);
    }

    /** Sends requests at random times, `perSecond` in the mean at each VM, for `durationMs`. A request lasts 100 ms. */
    async load(perSecond: ReadonlyMap<string, number>, durationMs: number, seed = 1): Promise<void> {
        const random = xoroshiro128plus(seed);
        const stepMs = 10;
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
            for (const [vm, rate] of perSecond) {
                if ((random.next() >>> 0) / 2 ** 32 < rate * stepMs / 1000) {
                    this.ask(vm);
                }
            }
            await this.scheduler.advanceAsync(stepMs);
        }
    }

    ask(vm: string): void {
        const found = this.services.get(vm);
        if (found === undefined) {
            return;
        }
        this.wantedMs.push(this.scheduler.nowMs());
        void found.service.acquire(this.limited, tokensEach).map(admission => {
            this.admittedMs.push(this.scheduler.nowMs());
            this.scheduler.after(100, () => {
                admission.end(tokensEach);
            }, found.stop.signal);
        });
    }

    /** Most requests let through in any minute. */
    get worstMinute(): number {
        return Math.max(0, ...this.admittedMs.map((start, index) => countWithin(this.admittedMs, start, index)));
    }

    admittedBetween(fromMs: number, toMs: number): number {
        return this.admittedMs.filter(timeMs => timeMs >= fromMs && timeMs < toMs).length;
    }
}

function countWithin(timesMs: readonly number[], startMs: number, index: number): number {
    let end = index;
    while (end < timesMs.length && (timesMs[end] as number) < startMs + minuteMs) {
        end++;
    }
    return end - index;
}

function evenly(perSecond: number): Map<string, number> {
    return new Map(vms.map(vm => [vm, perSecond / vms.length]));
}

function skewed(perSecond: number): Map<string, number> {
    return new Map(vms.map((vm, index) => [vm, perSecond * [0.5, 0.2, 0.1, 0.1, 0.05, 0.05, 0, 0, 0][index]!]));
}

/** One central window over the times asked: when a single VM with all the traffic would let requests through. */
function naivelyAdmitted(wantedMs: readonly number[]): number[] {
    const admitted: number[] = [];
    for (const timeMs of wantedMs) {
        const inWindow = admitted.filter(earlier => earlier > timeMs - minuteMs).length;
        if (inWindow < limit) {
            admitted.push(timeMs);
        }
    }
    return admitted;
}

/** Never above 1.1 of the limit, and over the given minutes at least 0.9 of what one central window lets through. */
function expectFair(fleet: Fleet, minuteStartsMs: readonly number[]): void {
    expect(fleet.worstMinute).toBeLessThanOrEqual(limit * 1.1);
    const naive = naivelyAdmitted(fleet.wantedMs);
    for (const startMs of minuteStartsMs) {
        const wanted = naive.filter(timeMs => timeMs >= startMs && timeMs < startMs + minuteMs).length;
        expect(fleet.admittedBetween(startMs, startMs + minuteMs)).toBeGreaterThanOrEqual(wanted * 0.9);
    }
}

const limit = customer.requestsPerMinute as number;

for (const [name, perSecond] of [["even", evenly(15)], ["skewed", skewed(15)]] as const) {
    test(`${name} arrival beyond the limit gets between 0.9 and 1.1 of it, and as much as by one central window`, async () => {
        for (const seed of [1, 2, 3]) {
            const fleet = new Fleet();
            await fleet.load(perSecond, 2 * minuteMs, seed);
            expectFair(fleet, [0, 15_000, 30_000, 45_000, minuteMs]);
            expect(fleet.admittedBetween(0, minuteMs)).toBeGreaterThanOrEqual(limit * 0.9);
            expect(fleet.admittedBetween(minuteMs, 2 * minuteMs)).toBeGreaterThanOrEqual(limit * 0.9);
        }
    });
}

test("random arrival at each VM gets what one central window would let through", async () => {
    const rate = fc.oneof(fc.constant(0), fc.double({ min: 0.1, max: 6, noNaN: true }));
    await fc.assert(
        fc.asyncProperty(fc.array(rate, { minLength: vms.length, maxLength: vms.length }), fc.nat(1000), async (rates, seed) => {
            const fleet = new Fleet();
            await fleet.load(new Map(vms.map((vm, index) => [vm, rates[index] as number])), 100_000, seed);
            await fleet.scheduler.advanceAsync(1000);
            expectFair(fleet, [0, 20_000, 40_000]);
        }),
        { seed: 1, numRuns: 15 },
    );
});

test("arrival below the limit is never refused", async () => {
    const fleet = new Fleet();
    await fleet.load(skewed(8), 2 * minuteMs);
    await fleet.scheduler.advanceAsync(1000);
    expect(fleet.admittedMs.length).toEqual(fleet.wantedMs.length);
});

test("a burst of a whole minute's requests at one VM passes within seconds", async () => {
    const fleet = new Fleet();
    await fleet.load(new Map([["a-2", 90]]), 7000);
    expect(fleet.admittedMs.length).toBeGreaterThanOrEqual(limit * 0.9);
    expect(fleet.worstMinute).toBeLessThanOrEqual(limit * 1.1);
});

test("tokens a minute bind where requests do not", async () => {
    const fleet = new Fleet({ ...customer, requestsPerMinute: undefined, tokensPerMinute: limit * tokensEach });
    await fleet.load(skewed(15), 2 * minuteMs);
    expect(fleet.worstMinute).toBeLessThanOrEqual(limit * 1.1);
    expect(fleet.admittedBetween(minuteMs, 2 * minuteMs)).toBeGreaterThanOrEqual(limit * 0.9);
});

test("when the quota owner crashes the customer still gets between 0.9 and 1.1 of its limit over each minute", async () => {
    for (const perSecond of [evenly(15), skewed(15)]) {
        const fleet = new Fleet();
        await fleet.load(perSecond, 90_000);
        fleet.crash(owner);
        await fleet.load(perSecond, 1500);
        const rest = vms.filter(vm => vm !== owner);
        for (const view of fleet.views.values()) {
            view.set(rest);
        }
        await fleet.load(perSecond, 90_000);
        expectFair(fleet, [45_000, 60_000, 75_000, 90_000, 105_000, 120_000]);
    }
});

test("while a zone is cut off, both sides together get at most 1.1 of the limit, and 0.9 when all VMs ask enough", async () => {
    const fleet = new Fleet();
    await fleet.load(evenly(18), 90_000);
    const inside = vms.filter(vm => vm.startsWith("b"));
    const outside = vms.filter(vm => !vm.startsWith("b"));
    for (const left of inside) {
        for (const right of outside) {
            fleet.network.cut(left, right);
            fleet.network.cut(right, left);
        }
    }
    await fleet.load(evenly(18), 1500);
    for (const [vm, view] of fleet.views) {
        view.set(inside.includes(vm) ? inside : outside, vms.length);
    }
    await fleet.load(evenly(18), 120_000);
    expectFair(fleet, [45_000, 60_000, 75_000, 90_000, 105_000, 120_000, 150_000]);
    fleet.network.heal();
    for (const view of fleet.views.values()) {
        view.set(vms);
    }
    await fleet.load(evenly(18), 90_000);
    expect(fleet.worstMinute).toBeLessThanOrEqual(limit * 1.1);
});

test("a VM that loses its links falls back to its even share at once", async () => {
    const fleet = new Fleet();
    const alone = vms.find(vm => vm !== owner) as string;
    for (const vm of vms) {
        fleet.network.cut(alone, vm);
        fleet.network.cut(vm, alone);
    }
    await fleet.load(new Map([[alone, 10]]), minuteMs);
    expect(fleet.admittedMs.length).toBeGreaterThanOrEqual(Math.floor(limit / vms.length * 0.9));
    expect(fleet.admittedMs.length).toBeLessThanOrEqual(Math.ceil(limit / vms.length * 1.1));
});

test("requests in flight stay within the concurrency limit over all VMs", async () => {
    const fleet = new Fleet({ ...customer, requestsPerMinute: undefined, tokensPerMinute: undefined, concurrentRequests: 18 });
    let highest = 0;
    for (let step = 0; step < 100; step++) {
        await fleet.load(evenly(900), 100);
        const nowMs = fleet.scheduler.nowMs();
        highest = Math.max(highest, fleet.admittedBetween(nowMs - 99, nowMs + 1));
    }
    expect(highest).toBeBetween(1, 18);
});

test("a customer that sends nothing costs no messages", async () => {
    const fleet = new Fleet();
    await fleet.load(evenly(5), 5000);
    await fleet.scheduler.advanceAsync(10_000);
    const before = fleet.network.messageCount;
    await fleet.scheduler.advanceAsync(30_000);
    expect(fleet.network.messageCount - before).toEqual(0);
});

test("bursts far below the limits are never refused, with and without the owner", async () => {
    const fleet = new Fleet({ ...customer, requestsPerMinute: 6_000, tokensPerMinute: 3_000_000, concurrentRequests: 500 });
    const borrowers = vms.filter(vm => vm !== owner).slice(0, 2) as [string, string];
    const burst = async (size: number, apartMs: number): Promise<void> => {
        for (let index = 0; index < size; index++) {
            borrowers.forEach(vm => {
                fleet.ask(vm);
            });
            await fleet.scheduler.advanceAsync(apartMs);
        }
    };
    for (let round = 0; round < 10; round++) {
        await burst(12, round % 2);
        await fleet.scheduler.advanceAsync(30 * round);
    }
    fleet.crash(owner);
    for (let round = 0; round < 10; round++) {
        await burst(6, round % 2);
        await fleet.scheduler.advanceAsync(100 * round);
    }
    await fleet.scheduler.advanceAsync(2_000);
    expect(fleet.admittedMs.length).toEqual(360);
});
