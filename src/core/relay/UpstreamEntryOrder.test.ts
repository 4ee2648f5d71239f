import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { UpstreamEntryOrder } from "./UpstreamEntryOrder.js";

const startMs = 1_700_000_000_000;
const heartbeatMs = 1_200;

/** Accepts entries of one upstream, each at the next offset. */
function createOrder() {
    const order = new UpstreamEntryOrder();
    let offset = 0;
    return {
        order,
        accept: (startedWallMs: number, revision: number, nowMs = 0, isVouchedFor = false) =>
            order.accept({ id: "a", startedWallMs, revision }, { offset: offset++, isVouchedFor }, nowMs),
        remove: (nowMs = 0) => order.recordRemoval("a", offset++, nowMs),
    };
}

test("an entry is older if one with a higher revision of the same incarnation was accepted", () => {
    const { accept } = createOrder();
    expect([accept(startMs, 7), accept(startMs, 9), accept(startMs, 8), accept(startMs, 9), accept(startMs, 10)])
        .toEqual(["newest", "newest", "older", "newest", "newest"]);
});

test("of an upstream that was removed, an entry counts again only if it is newer than all accepted ones", () => {
    const { accept, remove } = createOrder();
    accept(startMs, 9);
    expect([remove(), accept(startMs, 8), accept(startMs, 9), accept(startMs, 10)]).toEqual([true, "older", "older", "newest"]);
});

test("an entry of an incarnation that another one has replaced is older", () => {
    const { accept } = createOrder();
    expect([accept(startMs, 40), accept(startMs + 5_000, 1), accept(startMs, 39), accept(startMs, 40), accept(startMs + 5_000, 2)])
        .toEqual(["newest", "newest", "older", "older", "newest"]);
});

test("an entry that follows on those of a replaced incarnation, or is of one before it, does not count while the current one goes on", () => {
    const { accept } = createOrder();
    accept(startMs, 40);
    accept(startMs + 5_000, 1);
    expect([accept(startMs, 41), accept(startMs + 5_000, 2), accept(startMs, 42), accept(startMs + 5_000, 3)])
        .toEqual(["earlier-incarnation", "newest", "earlier-incarnation", "newest"]);
    expect([accept(startMs - 60_000, 50), accept(startMs + 5_000, 4)]).toEqual(["earlier-incarnation", "newest"]);
});

test("an upstream whose clock was set back before it restarted counts at once, also after its removal", () => {
    const { accept, remove } = createOrder();
    accept(startMs, 40);
    expect([accept(startMs - 3_600_000, 1), accept(startMs - 3_600_000, 2), accept(startMs, 40)]).toEqual(["newest", "newest", "older"]);
    remove();
    expect(accept(startMs - 7_200_000, 1)).toEqual("newest");
});

test("an incarnation with a lower start time whose first entries did not arrive counts from its second entry on", () => {
    const { accept } = createOrder();
    accept(startMs, 2);
    expect([accept(startMs - 3_600_000, 5), accept(startMs - 3_600_000, 6), accept(startMs - 3_600_000, 7)])
        .toEqual(["earlier-incarnation", "newest", "newest"]);
});

test("an incarnation with a lower start time counts at once if another VM vouches for it, but not an entry that is known to be older", () => {
    const { accept } = createOrder();
    accept(startMs, 2);
    expect([accept(startMs - 3_600_000, 5, 0, true), accept(startMs, 2, 0, true), accept(startMs - 3_600_000, 4, 0, true)])
        .toEqual(["newest", "older", "older"]);
});

test("an upstream without a start time is not shut out when its count begins anew", () => {
    const { accept } = createOrder();
    expect([accept(0, 40), accept(0, 1)]).toEqual(["newest", "newest"]);
    const withStart = createOrder();
    withStart.accept(startMs, 40);
    expect([withStart.accept(0, 41), withStart.accept(startMs, 41), withStart.accept(0, 42), withStart.accept(0, 43)])
        .toEqual(["earlier-incarnation", "newest", "earlier-incarnation", "newest"]);
});

test("a revision blocks lower ones for 30 s only, whether its upstream is listed or not", () => {
    const { accept, remove } = createOrder();
    accept(startMs, 9_000, 0);
    expect([accept(startMs, 5, 30_000), accept(startMs, 6, 30_001)]).toEqual(["older", "newest"]);
    remove(40_000);
    expect([accept(startMs, 5, 70_000), accept(startMs, 4, 70_001)]).toEqual(["older", "newest"]);
});

test("at most 1,024 removed upstreams are remembered", () => {
    const order = new UpstreamEntryOrder();
    for (let index = 0; index <= 1_024; index++) {
        order.accept({ id: `u${index}`, startedWallMs: startMs, revision: 2 }, { offset: index, isVouchedFor: false }, 0);
        order.recordRemoval(`u${index}`, 2_000 + index, 0);
    }
    const ages = ["u0", "u1", "u1024"].map(id =>
        order.accept({ id, startedWallMs: startMs, revision: 1 }, { offset: 5_000, isVouchedFor: false }, 0)
    );
    expect(ages).toEqual(["newest", "older", "older"]);
});

test("records that a complete list already contains change nothing when they are read again, until the next list", () => {
    const order = new UpstreamEntryOrder();
    const accept = (startedWallMs: number, revision: number, offset: number) =>
        order.accept({ id: "a", startedWallMs, revision }, { offset, isVouchedFor: true }, 0);
    accept(startMs, 9, 20);
    order.startList(new Set(["a"]), 0, false);
    expect(accept(startMs - 1, 3, 50)).toEqual("newest");
    expect([accept(startMs, 10, 40), order.recordRemoval("a", 45, 0), accept(startMs - 1, 3, 50)]).toEqual(["known", false, "known"]);
    // The next list is of a log whose offsets have begun anew.
    order.startList(new Set(["a"]), 0, false);
    expect([accept(startMs - 1, 4, 7), order.recordRemoval("a", 8, 0)]).toEqual(["newest", true]);
});

test("an upstream that a complete list lacks is removed", () => {
    const { order, accept } = createOrder();
    accept(startMs, 9);
    order.startList(new Set(), 0, false);
    expect([accept(startMs, 9), accept(startMs, 10)]).toEqual(["older", "newest"]);
});

// Guards against calls to a draining upstream, or to one that has left, after a heartbeat that was held up on its way.
test("whatever is held up, an entry is never accepted after a newer one of its incarnation, and a live upstream never waits long", () => {
    const write = fc.record({ delayMs: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 6_000 })), restarts: fc.nat({ max: 9 }) });
    const writes = fc.array(write, { minLength: 1, maxLength: 40 });
    fc.assert(
        fc.property(writes, fc.array(fc.integer({ min: -5_000, max: 5_000 }), { minLength: 40, maxLength: 40 }), (plan, clockSteps) => {
            const { accept } = createOrder();
            let startedWallMs = startMs;
            let revision = 0;
            const sent = plan.map(({ delayMs, restarts }, index) => {
                if (restarts === 0) {
                    startedWallMs += index * heartbeatMs + (clockSteps[index] ?? 0) + 1;
                    revision = 0;
                }
                return { startedWallMs, revision: ++revision, arrivesMs: index * heartbeatMs + delayMs };
            });
            const newest = new Map<number, number>();
            for (const { startedWallMs, revision, arrivesMs } of sent.sort((left, right) => left.arrivesMs - right.arrivesMs)) {
                const isBelow = revision < (newest.get(startedWallMs) ?? 0);
                const age = accept(startedWallMs, revision, arrivesMs);
                expect(age === "newest" && isBelow).toEqual(false);
                if (age === "newest") {
                    newest.set(startedWallMs, revision);
                }
            }
            // The upstream's heartbeats arrive in time from now on.
            const lastMs = plan.length * heartbeatMs + 6_000;
            const ages = [1, 2, 3].map(count => accept(startedWallMs, revision + count, lastMs + count * heartbeatMs));
            expect(ages.slice(1)).toEqual(["newest", "newest"]);
        }),
        { seed: 42, numRuns: 500 },
    );
});
