import { expect } from "earl";
import { test } from "node:test";
import { parseRetryAfterMs } from "./parseRetryAfterMs.js";
import { exampleUpstream } from "./testing/exampleUpstream.js";
import { UpstreamAvailability } from "./UpstreamAvailability.js";
import { UpstreamDirectory } from "./UpstreamDirectory.js";
import { UpstreamHealth } from "./UpstreamHealth.js";

const [a, b] = [exampleUpstream("a"), exampleUpstream("b")];

function createAvailability(random = 0) {
    const directory = new UpstreamDirectory();
    directory.set(a);
    directory.set(b);
    const health = new UpstreamHealth();
    const availability = new UpstreamAvailability({ directory, health, random: () => random });
    const select = (nowMs: number, excluded: readonly string[] = []) => {
        const { candidates, firstReturnMs } = availability.select("orders", new Set(excluded), nowMs);
        return [candidates.map(({ id }) => id).join(), firstReturnMs];
    };
    return { directory, health, availability, select };
}

test("upstreams that have failed lately are candidates only without others", () => {
    const { health, select } = createAvailability();
    health.recordFailure("a", 0);
    expect([select(0), select(0, ["b"]), select(400)]).toEqual([["b", undefined], ["a", undefined], ["a,b", undefined]]);
});

test("a leaving upstream gets no calls, also when it is listed again, until another incarnation of it is", () => {
    const { directory, availability, select } = createAvailability();
    expect([availability.recordLeaving(a), availability.recordLeaving(a)]).toEqual([true, false]);
    expect([select(0), select(1e9, ["b"])]).toEqual([["b", undefined], ["", undefined]]);
    directory.remove("a", 0);
    directory.set(a);
    expect(select(1)).toEqual(["b", undefined]);
    directory.set({ ...a, startedWallMs: 5 });
    expect(select(2)).toEqual(["a,b", undefined]);
});

// Guards against calls to a leaving upstream after a response of its incarnation before that arrived late.
test("what an earlier incarnation of an upstream says late does not make the VM forget what the later one has said", () => {
    const { directory, availability, select } = createAvailability();
    const restarted = { ...a, startedWallMs: 5 };
    directory.set(restarted);
    availability.recordLeaving(restarted);
    availability.recordPause(a, 100, 0);
    expect(select(200)).toEqual(["b", undefined]);
});

test("a paused upstream gets no calls, not even when the others have failed, until its pause is over", () => {
    const { health, availability, select } = createAvailability();
    expect(availability.recordPause(a, 2_000, 100)).toEqual(2_000);
    health.recordFailure("b", 1_800);
    expect([select(1_900), select(2_099, ["b"]), select(2_100)]).toEqual([["b", 2_100], ["", 2_100], ["a", undefined]]);
    expect([availability.count("paused", 2_099), availability.count("open", 2_099), availability.count("paused", 2_100)]).toEqual([
        1,
        1,
        0,
    ]);
    expect([availability.getState(a, 2_099), availability.getState(a, 2_100)]).toEqual(["paused", "resuming"]);
});

// Guards against calls to an upstream before the end of a long pause that it has asked for.
test("a pause of minutes is kept to its end, unless another incarnation of the upstream is listed", () => {
    const { directory, availability, select } = createAvailability();
    const pauseMs = parseRetryAfterMs("600")._unsafeUnwrap() ?? 0;
    expect(availability.recordPause(a, pauseMs, 0)).toEqual(600_000);
    expect([select(599_999), select(599_999, ["b"])]).toEqual([["b", 600_000], ["", 600_000]]);
    directory.set({ ...a, startedWallMs: 5 });
    expect(select(1_000)).toEqual(["a,b", undefined]);
});

test("a shorter pause does not end a longer one, and VMs lengthen pauses by shares of their own", () => {
    const { availability, select } = createAvailability(1);
    expect(Math.round(availability.recordPause(a, 2_000, 0))).toEqual(2_300);
    expect(Math.round(availability.recordPause(a, 100, 1_000))).toEqual(1_300);
    expect(select(2_299, ["b"])[0]).toEqual("");
});

test("after its pause an upstream gets a call from time to time until it has answered one", () => {
    const { availability, select } = createAvailability();
    availability.recordPause(a, 1_000, 0);
    expect(availability.recordAnswer(a, 999)).toEqual(false);
    availability.recordSent(a, 1_000);
    expect([select(1_099, ["b"]), select(1_100, ["b"])]).toEqual([["", 1_100], ["a", undefined]]);
    expect([availability.recordAnswer(a, 1_050), availability.recordAnswer(a, 1_051)]).toEqual([true, false]);
    expect([select(1_051, ["b"]), availability.getState(a, 1_051)]).toEqual([["a", undefined], "open"]);
});

test("the number of records is bounded", () => {
    const { availability, select } = createAvailability();
    availability.recordLeaving(a);
    for (let index = 0; index < 2_000; index++) {
        availability.recordLeaving(exampleUpstream(`x${index}`));
    }
    expect(select(0)).toEqual(["a,b", undefined]);
});
