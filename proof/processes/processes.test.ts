import { expect } from "earl";
import { afterEach, beforeEach, describe, test } from "node:test";
import { createExampleConfig } from "../../src/cli/quickstart/createExampleConfig.js";
import { createFleetOperatorClient } from "../../src/cli/quickstart/createFleetOperatorClient.js";
import { selectByRendezvousHash } from "../../src/core/util/selectByRendezvousHash.js";
import { objectToProto } from "../../src/node/operator/objectToProto.js";
import type { Pool } from "../../src/schema/config/Pool.js";
import { Kind } from "../../src/schema/generated/orioleshelf/v1/operator_pb.js";
import { answerText } from "../../standins/engine/answerText.js";
import { book } from "./book.js";
import { chat } from "./chat.js";
import type { ChatResult } from "./ChatResult.js";
import { ProcessFleet } from "./ProcessFleet.js";
import type { VmProcess } from "./VmProcess.js";
import { waitUntil } from "./waitUntil.js";

const engineSeed = 1;
const shownCharacters = 60;

/** Starts chats on each VM; resolves when all of them are streaming. */
async function startChats(vms: readonly VmProcess[], countPerVm: number, tokens: number): Promise<Promise<ChatResult>[]> {
    let started = 0;
    const results = vms.flatMap(vm =>
        Array.from(Array(countPerVm).keys(), index => {
            let isStarted = false;
            return chat(vm.callerUrl, createPrompt(vm, index), tokens, "urgent", () => {
                started += isStarted ? 0 : 1;
                isStarted = true;
            });
        })
    );
    await waitUntil("all chats are streaming", () => started === results.length);
    return results;
}

function createPrompt(vm: VmProcess, index: number): string {
    return `station ${vm.id} question ${index}`;
}

async function expectComplete(
    vms: readonly VmProcess[],
    countPerVm: number,
    tokens: number,
    results: Promise<ChatResult>[],
): Promise<void> {
    const prompts = vms.flatMap(vm => Array.from(Array(countPerVm).keys(), index => createPrompt(vm, index)));
    const settled = await Promise.all(results);
    const incomplete = settled.flatMap(({ status, isClosed, outcome, text }, index) => {
        const isComplete = status === 200 && isClosed && outcome === "ran" &&
            text === answerText(prompts[index] as string, tokens, engineSeed);
        return isComplete
            ? []
            : [{
                prompt: prompts[index],
                status,
                isClosed,
                outcome,
                tokens: text.split(" ").length - 1,
                end: text.slice(-shownCharacters),
            }];
    });
    expect(incomplete).toEqual([]);
}

describe("a fleet of VM processes", () => {
    let fleet: ProcessFleet;

    beforeEach(async () => {
        fleet = await ProcessFleet.start();
    });

    afterEach(() => fleet.stop());

    test("a VM that gets SIGTERM cuts off no stream and exits with 0", async () => {
        const [vm] = fleet.vms as [VmProcess];
        const chats = await startChats([vm], 8, 300);
        vm.signal("SIGTERM");
        await waitUntil("the stopping VM is not ready", async () => !await vm.isReady());
        const late = await chat(vm.callerUrl, "sent before the load balancer noticed", 5, "urgent");
        expect([late.status, late.isClosed]).toEqual([200, true]);
        await expectComplete([vm], 8, 300, chats);
        expect(await vm.exited).toEqual(0);
    });

    test("when a VM is killed, the streams of the others are complete and they serve new ones", async () => {
        const [killed, ...others] = fleet.vms as [VmProcess, ...VmProcess[]];
        const chats = await startChats(others, 6, 200);
        killed.signal("SIGKILL");
        const later = others.flatMap(vm =>
            Array.from(Array(6).keys(), index => chat(vm.callerUrl, `later ${vm.id} ${index}`, 20, "urgent"))
        );
        await expectComplete(others, 6, 200, chats);
        expect((await Promise.all(later)).filter(result => !result.isClosed)).toEqual([]);
    });

    test("while a VM is paused, the others serve; after it resumes, its own streams are complete too", async () => {
        const [paused, ...others] = fleet.vms as [VmProcess, ...VmProcess[]];
        const ownChats = await startChats([paused], 4, 300);
        paused.signal("SIGSTOP");
        const chats = await startChats(others, 6, 100);
        await expectComplete(others, 6, 100, chats);
        paused.signal("SIGCONT");
        await expectComplete([paused], 4, 300, ownChats);
    });

    test("a booking that is retried through every VM runs at most once while one VM is killed and one is paused", async () => {
        const [first, second, third] = fleet.vms as [VmProcess, VmProcess, VmProcess];
        const keys = Array.from(Array(12).keys(), index => `callout-${index}`);
        const firstTries = keys.map(key => book(first.callerUrl, key));
        const secondTries = keys.map(key => book(second.callerUrl, key));
        first.signal("SIGKILL");
        second.signal("SIGSTOP");
        const thirdTries = await Promise.all(keys.map(key => book(third.callerUrl, key)));
        second.signal("SIGCONT");
        const results = [...await Promise.all(firstTries), ...await Promise.all(secondTries), ...thirdTries];
        const executions = fleet.executionsByKey();
        for (const key of keys) {
            const count = executions.get(key) ?? 0;
            const responses = keys.flatMap((
                other,
                index,
            ) => (other === key ? [0, 1, 2].map(round => results[round * keys.length + index]) : []));
            expect(count <= 1).toEqual(true);
            expect(responses.some(result => result?.outcome === "ran") ? count : 1).toEqual(1);
        }
    });

    test("while the log is down, streams continue and bookings are refused as not run; afterwards bookings run", async () => {
        const [vm] = fleet.vms as [VmProcess];
        fleet.platform.log.setFaults({ isDown: true });
        const chats = await startChats([vm], 4, 50);
        const refused = await book(vm.callerUrl, "during-outage");
        expect([refused.status, refused.outcome]).toEqual([503, "not-run"]);
        await expectComplete([vm], 4, 50, chats);
        fleet.platform.log.setFaults({});
        await waitUntil("bookings run again", async () => (await book(vm.callerUrl, "after-outage")).outcome === "ran");
        const executions = fleet.executionsByKey();
        expect([executions.get("during-outage") ?? 0, executions.get("after-outage")]).toEqual([0, 1]);
    });

    test("VMs partitioned from each other, and all but one from the log, serve chats, book only with the log, and rejoin afterwards", async () => {
        const [vmWithLog, ...vmsWithoutLog] = fleet.vms as [VmProcess, ...VmProcess[]];
        fleet.cutLinks();
        fleet.platform.log.setFaults({ reachableZones: ["lautoka"] });
        for (const vm of fleet.vms) {
            await waitUntil(`${vm.id} sees only itself as ready`, async () => (await fleet.readyMembers(vm)).length === 1);
        }
        const chats = await startChats(fleet.vms, 4, 60);
        const refused = await Promise.all(vmsWithoutLog.map(vm => book(vm.callerUrl, "cut-off")));
        expect(refused.map(({ status, outcome }) => [status, outcome])).toEqual([[503, "not-run"], [503, "not-run"]]);
        const booked = await book(vmWithLog.callerUrl, "cut-off");
        expect(booked.outcome).toEqual("ran");
        await expectComplete(fleet.vms, 4, 60, chats);
        fleet.healLinks();
        fleet.platform.log.setFaults({});
        await fleet.waitUntilConverged();
        await waitUntil("every VM returns the result of the booking", async () => {
            const again = await Promise.all(fleet.vms.map(vm => book(vm.callerUrl, "cut-off")));
            return again.every(({ body, outcome }) => outcome === "ran" && body === booked.body);
        });
        expect(fleet.executionsByKey().get("cut-off")).toEqual(1);
    });

    test("an upstream that the platform's list marks as leaving gets no new work", async () => {
        const [vm] = fleet.vms as [VmProcess];
        const leavingIds = [...fleet.platform.engines.keys()].filter(id => id.endsWith("nadi"));
        for (const id of leavingIds) {
            fleet.platform.vmList.setUpstream(id, true);
        }
        const countCalls = () => leavingIds.reduce((sum, id) => sum + (fleet.platform.engines.get(id)?.calls.length ?? 0), 0);
        const haveNoNewCalls = async () => {
            const before = countCalls();
            // Enough concurrent chats that engines of every availability zone are needed on both paths.
            await Promise.all(Array.from(Array(40).keys(), index => chat(vm.callerUrl, `quiet ${index}`, 20, "urgent")));
            return countCalls() === before;
        };
        await waitUntil("the leaving engines get no new calls", haveNoNewCalls);
        expect([await haveNoNewCalls(), await haveNoNewCalls()]).toEqual([true, true]);
    });

    test("one VM carries out the orders for placements, and another takes over after it was killed", async () => {
        const engines = [...fleet.platform.engines].filter(([id]) => id.startsWith("engine-new")).map(([, engine]) => engine);
        const countServing = () => engines.filter(engine => engine.orders.serves("gauge-model")).length;
        const applyPlacements = async (vm: VmProcess, replicas: number) => {
            const pool = createExampleConfig(fleet.standins).flatMap(object => (object.kind === "pool" ? [object.value] : []))
                .find(({ name }) => name === "pumpline-model-new");
            const placements = [
                { model: "pumpline-model", version: "1", role: "both" as const, replicas: engines.length - replicas },
                { model: "gauge-model", version: "2", role: "both" as const, replicas },
            ];
            const value = objectToProto({ kind: "pool", value: { ...pool as Pool, placements } });
            const client = createFleetOperatorClient({ standins: fleet.standins, operatorToken: fleet.operatorToken, vms: [vm] });
            const { stored } = await client.get({ kind: Kind.POOL, name: "pumpline-model-new" });
            await client.apply({ author: "test", operations: [{ operation: { case: "put", value }, readRevision: stored?.revision }] });
        };
        const fencingNumbers = () => new Set(engines.flatMap(engine => engine.orders.obeyed.map(order => order.fencingNumber)));
        await applyPlacements(fleet.vms[0] as VmProcess, 1);
        await waitUntil("one engine serves the new model", () => countServing() === 1);
        expect(fencingNumbers().size).toEqual(1);
        const holder = selectByRendezvousHash("orders", fleet.vms.map(vm => vm.id));
        fleet.vms.find(vm => vm.id === holder)?.signal("SIGKILL");
        await applyPlacements(fleet.vms.find(vm => vm.id !== holder) as VmProcess, 2);
        await waitUntil("two engines serve the new model", () => countServing() === 2);
        expect(fencingNumbers().size).toEqual(2);
        expect(engines.some(engine => engine.orders.serves("pumpline-model"))).toEqual(true);
    });
});
