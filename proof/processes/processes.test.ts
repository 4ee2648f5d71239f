import { expect } from "earl";
import { afterEach, beforeEach, describe, test } from "node:test";
import { answerText } from "../../standins/engine/answerText.js";
import { book } from "./book.js";
import { chat } from "./chat.js";
import type { ChatResult } from "./ChatResult.js";
import { ProcessFleet } from "./ProcessFleet.js";
import type { VmProcess } from "./VmProcess.js";
import { waitUntil } from "./waitUntil.js";

const engineSeed = 1;
const textShown = 60;

/** Chats that are all under way when the promise resolves. */
async function startChats(vms: readonly VmProcess[], countPerVm: number, tokens: number): Promise<Promise<ChatResult>[]> {
    let started = 0;
    const results = vms.flatMap(vm =>
        Array.from(Array(countPerVm).keys(), index => {
            let isStarted = false;
            return chat(vm.callerUrl, promptOf(vm, index), tokens, "urgent", () => {
                started += isStarted ? 0 : 1;
                isStarted = true;
            });
        })
    );
    await waitUntil("all chats are under way", () => started === results.length);
    return results;
}

function promptOf(vm: VmProcess, index: number): string {
    return `station ${vm.id} question ${index}`;
}

async function expectWhole(vms: readonly VmProcess[], countPerVm: number, tokens: number, results: Promise<ChatResult>[]): Promise<void> {
    const prompts = vms.flatMap(vm => Array.from(Array(countPerVm).keys(), index => promptOf(vm, index)));
    const settled = await Promise.all(results);
    const flaws = settled.flatMap(({ status, isClosed, outcome, text }, index) => {
        const isWhole = status === 200 && isClosed && outcome === "ran" &&
            text === answerText(prompts[index] as string, tokens, engineSeed);
        return isWhole
            ? []
            : [{ prompt: prompts[index], status, isClosed, outcome, tokens: text.split(" ").length - 1, end: text.slice(-textShown) }];
    });
    expect(flaws).toEqual([]);
}

describe("a fleet of processes", () => {
    let fleet: ProcessFleet;

    beforeEach(async () => {
        fleet = await ProcessFleet.start();
    });

    afterEach(() => fleet.stop());

    test("a stop by SIGTERM cuts off no stream, and the process exits with 0", async () => {
        const [vm] = fleet.vms as [VmProcess];
        const chats = await startChats([vm], 8, 300);
        vm.signal("SIGTERM");
        await waitUntil("the VM takes no new work", async () => !await vm.isReady());
        await expectWhole([vm], 8, 300, chats);
        expect(await vm.exited).toEqual(0);
    });

    test("while any one VM is killed, the streams of the others stay whole and new ones are served", async () => {
        const [killed, ...others] = fleet.vms as [VmProcess, ...VmProcess[]];
        const chats = await startChats(others, 6, 200);
        killed.signal("SIGKILL");
        const later = others.flatMap(vm =>
            Array.from(Array(6).keys(), index => chat(vm.callerUrl, `later ${vm.id} ${index}`, 20, "urgent"))
        );
        await expectWhole(others, 6, 200, chats);
        expect((await Promise.all(later)).filter(result => !result.isClosed)).toEqual([]);
    });

    test("while any one VM is paused, the others serve; when it wakes, its own streams are whole too", async () => {
        const [paused, ...others] = fleet.vms as [VmProcess, ...VmProcess[]];
        const ownChats = await startChats([paused], 4, 300);
        paused.signal("SIGSTOP");
        const chats = await startChats(others, 6, 100);
        await expectWhole(others, 6, 100, chats);
        paused.signal("SIGCONT");
        await expectWhole([paused], 4, 300, ownChats);
    });

    test("a booking repeated through every VM while one is killed and one is paused runs at most once", async () => {
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
            const told = keys.flatMap((
                other,
                index,
            ) => (other === key ? [0, 1, 2].map(round => results[round * keys.length + index]) : []));
            expect(count <= 1).toEqual(true);
            expect(told.some(result => result?.outcome === "ran") ? count : 1).toEqual(1);
        }
    });

    test("all VMs are replaced one by one under load: no stream is cut off and no booking is doubled", async () => {
        const results: ChatResult[] = [];
        const told = new Map<string, string>();
        let isRolling = true;
        const load = (async () => {
            for (let round = 0; isRolling; round++) {
                const vms = fleet.vms.slice(-3);
                const vm = vms[round % vms.length] as VmProcess;
                const [answer, booking] = await Promise.all([
                    chat(vm.callerUrl, `rolling ${round}`, 40, "urgent"),
                    book(vm.callerUrl, `rolling-${round}`),
                ]);
                results.push(answer);
                told.set(`rolling-${round}`, booking.outcome);
            }
        })();
        for (const old of [...fleet.vms]) {
            const replacement = await fleet.startVm(old.id.split("-")[0] as string);
            fleet.vms.push(replacement);
            await fleet.waitUntilWhole();
            old.signal("SIGTERM");
            expect(await old.exited).toEqual(0);
        }
        isRolling = false;
        await load;
        // A refused connection (status 0) ran nothing; whatever was answered must be whole.
        expect(results.filter(result => result.status === 200 && !result.isClosed)).toEqual([]);
        expect(results.some(result => result.isClosed)).toEqual(true);
        const executions = fleet.executionsByKey();
        for (const [key, outcome] of told) {
            expect([key, outcome, executions.get(key) ?? 0]).toEqual([key, outcome, outcome === "ran" ? 1 : 0]);
        }
    });

    test("while the log is down, streams go on and bookings are refused as not run; afterwards they run", async () => {
        const [vm] = fleet.vms as [VmProcess];
        fleet.platform.log.setFaults({ isDown: true });
        const chats = await startChats([vm], 4, 50);
        const refused = await book(vm.callerUrl, "during-outage");
        expect([refused.status, refused.outcome]).toEqual([503, "not-run"]);
        await expectWhole([vm], 4, 50, chats);
        fleet.platform.log.setFaults({});
        await waitUntil("bookings run again", async () => (await book(vm.callerUrl, "after-outage")).outcome === "ran");
        const executions = fleet.executionsByKey();
        expect([executions.get("during-outage") ?? 0, executions.get("after-outage")]).toEqual([0, 1]);
    });

    test("an upstream that leaves by the platform's list gets no new work", async () => {
        const [vm] = fleet.vms as [VmProcess];
        const leavingIds = [...fleet.platform.engines.keys()].filter(id => id.endsWith("nadi"));
        for (const id of leavingIds) {
            fleet.platform.vmList.setUpstream(id, true);
        }
        const callCount = () => leavingIds.reduce((sum, id) => sum + (fleet.platform.engines.get(id)?.calls.length ?? 0), 0);
        const isQuiet = async () => {
            const before = callCount();
            await Promise.all(Array.from(Array(12).keys(), index => chat(vm.callerUrl, `quiet ${index}`, 2, "urgent")));
            return callCount() === before;
        };
        await waitUntil("the leaving engines are quiet", isQuiet);
        expect([await isQuiet(), await isQuiet()]).toEqual([true, true]);
    });
});
