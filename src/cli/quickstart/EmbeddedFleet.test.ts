import { expect } from "earl";
import { after, before, describe, test } from "node:test";
import { request } from "undici";
import { addCallRoutes } from "./addCallRoutes.js";
import { applyExampleConfig } from "./applyExampleConfig.js";
import { createFleetOperatorClient } from "./createFleetOperatorClient.js";
import { EmbeddedFleet } from "./EmbeddedFleet.js";
import { sendExampleCalls } from "./sendExampleCalls.js";

describe("EmbeddedFleet", () => {
    let fleet: EmbeddedFleet;
    let firstBookingId = "";

    before(async () => {
        fleet = await EmbeddedFleet.start();
        await applyExampleConfig(fleet);
    });

    after(() => fleet.stop());

    test("every example call gets a complete answer, and a booking repeated with its key runs once", async () => {
        const calls = await addCallRoutes(fleet, await sendExampleCalls(fleet.vms));
        expect(calls.filter(call => call.status !== 200)).toEqual([]);
        expect(calls.map(call => call.outcome)).toEqual(Array(calls.length).fill("ran"));
        firstBookingId = calls.find(call => call.what.startsWith("booking"))?.requestId ?? "";
        const [first, , repeated] = calls.filter(call => call.what.startsWith("booking"));
        expect(repeated?.answer).toEqual(first?.answer);
        let executions = 0;
        for (const service of fleet.standins.services) {
            const response = await request(`${service.url}/_standin/executions`);
            const byKey = await response.body.json() as Record<string, number>;
            executions += Object.entries(byKey).filter(([key]) => key.includes("callout-17")).reduce((sum, [, count]) => sum + count, 0);
        }
        expect(executions).toEqual(1);
    });

    test("explain returns the claim of a booking, and a replay for each later call with its idempotency key", async () => {
        const calls = await sendExampleCalls(fleet.vms);
        const client = createFleetOperatorClient(fleet);
        const kinds = async (requestId: string) => {
            const { events } = await client.explain({ query: { case: "requestId", value: requestId } });
            return events.map(event => event.kind).filter(kind => kind === "claimed" || kind === "replayed");
        };
        // The preceding test used the same idempotency keys, so all bookings are replays.
        const bookings = calls.filter(call => call.what.startsWith("booking"));
        expect(await Promise.all(bookings.map(call => kinds(call.requestId)))).toEqual([["replayed"], ["replayed"], ["replayed"]]);
        expect(await kinds(firstBookingId)).toEqual(["claimed"]);
    });

    test("example calls are spread over both paths", async () => {
        const calls = await addCallRoutes(fleet, await sendExampleCalls(fleet.vms));
        expect(new Set(calls.map(call => call.path)).size).toEqual(2);
    });
});
