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

async function countedEvents(): Promise<{ events: number; vms: readonly string[]; logRead: boolean; }> {
    const report = reportFromProto(await createFleetOperatorClient(fleet!).report({ sinceMs: 3_600_000 }));
    return { events: report.levels.reduce((sum, level) => sum + level.good + level.bad, 0), vms: report.vms, logRead: report.logRead };
}

test("every call is counted once, told from any VM, and kept when its VM is drained", async () => {
    const calls = await sendExampleCalls(fleet!.vms);
    const whole = await countedEvents();
    expect(whole).toEqual({ events: calls.length, vms: whole.vms, logRead: true });
    expect(whole.vms.length).toEqual(3);

    const [asked] = fleet!.vms;
    const elsewhere = calls.find(call => call.vm !== asked!.id && call.what.startsWith("chat"));
    const explained = await createFleetOperatorClient(fleet!).explain({ query: { case: "requestId", value: elsewhere!.requestId } });
    const kinds = explained.events.filter(event => event.vm === elsewhere!.vm).map(event => event.kind);
    for (const kind of ["received", "path", "queued", "granted", "sent", "first-token", "judged"]) {
        expect([kind, kinds.includes(kind)]).toEqual([kind, true]);
    }
    expect(explained.silentVms).toEqual([]);

    const [, , last] = fleet!.vms;
    await last!.drain();
    const left = await countedEvents();
    expect(left).toEqual({ events: calls.length, vms: left.vms, logRead: true });
    expect(left.vms.includes(last!.id)).toEqual(false);
});
