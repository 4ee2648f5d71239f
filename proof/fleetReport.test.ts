import { expect } from "earl";
import { after, before, test } from "node:test";
import { applyExampleConfig } from "../src/cli/quickstart/applyExampleConfig.js";
import { createFleetOperatorClient } from "../src/cli/quickstart/createFleetOperatorClient.js";
import { EmbeddedFleet } from "../src/cli/quickstart/EmbeddedFleet.js";
import { sendExampleCalls } from "../src/cli/quickstart/sendExampleCalls.js";
import { reportFromProto } from "../src/node/operator/reportFromProto.js";

let fleet: EmbeddedFleet | undefined;

before(async () => {
    fleet = await EmbeddedFleet.start();
    await applyExampleConfig(fleet);
});

after(async () => {
    await fleet?.stop();
});

async function countEvents(): Promise<{ events: number; vms: readonly string[]; logRead: boolean; }> {
    const report = reportFromProto(await createFleetOperatorClient(fleet!).report({ sinceMs: 3_600_000 }));
    return { events: report.levels.reduce((sum, level) => sum + level.good + level.bad, 0), vms: report.vms, logRead: report.logRead };
}

test("the fleet report counts every call once and keeps it after its VM has drained, and any VM explains a call of another", async () => {
    const calls = await sendExampleCalls(fleet!.vms);
    const beforeDrain = await countEvents();
    expect(beforeDrain).toEqual({ events: calls.length, vms: beforeDrain.vms, logRead: true });
    expect(beforeDrain.vms.length).toEqual(3);

    const [firstVm] = fleet!.vms;
    const callOnOtherVm = calls.find(call => call.vm !== firstVm!.id && call.what.startsWith("chat"));
    const explanation = await createFleetOperatorClient(fleet!).explain({ query: { case: "requestId", value: callOnOtherVm!.requestId } });
    const kinds = explanation.events.filter(event => event.vm === callOnOtherVm!.vm).map(event => event.kind);
    for (const kind of ["received", "path", "queued", "granted", "sent", "first-token", "judged"]) {
        expect([kind, kinds.includes(kind)]).toEqual([kind, true]);
    }
    expect(explanation.silentVms).toEqual([]);

    const [, , lastVm] = fleet!.vms;
    await lastVm!.drain();
    const afterDrain = await countEvents();
    expect(afterDrain).toEqual({ events: calls.length, vms: afterDrain.vms, logRead: true });
    expect(afterDrain.vms.includes(lastVm!.id)).toEqual(false);
});
