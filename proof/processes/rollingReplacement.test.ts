import { expect } from "earl";
import { test } from "node:test";
import { book } from "./book.js";
import { chat } from "./chat.js";
import type { ChatResult } from "./ChatResult.js";
import { ProcessFleet } from "./ProcessFleet.js";
import type { VmProcess } from "./VmProcess.js";

const vmsPerZone = 3;

test("all nine VMs are replaced one by one under load: no stream is cut off and no booking is doubled or lost", async context => {
    const fleet = await ProcessFleet.start(vmsPerZone);
    context.after(() => fleet.stop());
    const results: ChatResult[] = [];
    const outcomes = new Map<string, string>();
    let isReplacing = true;
    // Like a load balancer that checks readiness, the load goes only to VMs that are ready and not about to stop.
    let serving = [...fleet.vms];
    const work = async (worker: number): Promise<void> => {
        for (let round = 0; isReplacing; round++) {
            const vm = serving[(worker + round) % serving.length] as VmProcess;
            const key = `rolling-${worker}-${round}`;
            const [answer, booking] = await Promise.all([chat(vm.callerUrl, key, 150, "urgent"), book(vm.callerUrl, key)]);
            results.push(answer);
            outcomes.set(key, booking.outcome === "ran" ? "ran" : `${booking.outcome}: ${booking.status} ${booking.body}`);
        }
    };
    const load = Promise.all([0, 1, 2, 3, 4, 5].map(work));
    for (const old of [...fleet.vms]) {
        const replacement = await fleet.startVm(old.id.split("-")[0] as string);
        fleet.vms.push(replacement);
        await fleet.waitUntilConverged();
        serving = [...serving.filter(vm => vm !== old), replacement];
        old.signal("SIGTERM");
        expect(await old.exited).toEqual(0);
    }
    isReplacing = false;
    await load;
    expect(results.filter(result => !result.isClosed)).toEqual([]);
    const executions = fleet.executionsByKey();
    for (const [key, outcome] of outcomes) {
        expect([key, outcome, executions.get(key)]).toEqual([key, "ran", 1]);
    }
});
