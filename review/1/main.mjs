// A machine is partitioned from the store for three to four seconds, several times. About a second after each partition one worker leaves without a
// report that it drains: the store confirms that its entry is removed, and it goes on serving for a while.
import { chooseLoopbackNet } from "../standins/chooseLoopbackNet.mjs";
import { createConfig } from "../standins/createConfig.mjs";
import { CutProxy } from "../standins/CutProxy.mjs";
import { Record } from "../standins/Record.mjs";
import { Requester } from "../standins/Requester.mjs";
import { startVm } from "../standins/startVm.mjs";
import { Store } from "../standins/Store.mjs";
import { Worker } from "../standins/Worker.mjs";

const isTroubled = process.env.TROUBLE !== "0";
/** The bounds of the settings that the rule uses. */
const drainMs = 2_000;
const stableWindowMs = 3_000;
/** A worker serves for `drain_ms` after its leaving was confirmed, and a little longer. */
const lingerMs = 1_500;
const heartbeatMs = 1_200;
const minCutMs = 3_000;
const cutStepMs = 90;
/** Time between the end of the partition and the leaving of a worker, by round. */
const leaveAfterMs = [900, 1_000, 1_100, 1_200, 900, 1_000, 1_100, 1_200, 1_000, 1_100];
const requestIntervalMs = 20;
const startTimeoutMs = 10_000;

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const record = new Record(new URL("record.txt", import.meta.url).pathname);
const address = chooseLoopbackNet();
const store = new Store();
const proxy = new CutProxy();
const requester = new Requester();
const workers = new Map();
/** When each request was sent, and the worker on which it ran. */
const sentMs = new Map();
const violations = [];
/** Since when nothing has disturbed the machine or its path to the store. */
let calmSinceMs = 0;
let isEnding = false;

function receive(worker, requestId) {
    const nowMs = record.nowMs();
    record.add(`${worker.id} runs ${requestId}`);
    const isInTouch = sentMs.get(requestId) - calmSinceMs >= stableWindowMs;
    if (worker.leftMs !== undefined && isInTouch && nowMs - worker.leftMs > drainMs) {
        violations.push(requestId);
        record.add(
            `BROKEN: ${requestId} reached ${worker.id} ${
                (nowMs - worker.leftMs).toFixed(0)
            } ms after the store had confirmed that it left; ` +
                `sent ${(sentMs.get(requestId) - calmSinceMs).toFixed(0)} ms after the end of the partition`,
        );
    }
}

async function addWorker(id) {
    const worker = new Worker({
        id,
        service: "jobs",
        zone: "z1",
        slots: 6,
        workMs: 60,
        onArrival: requestId => {
            receive(worker, requestId);
        },
    });
    await worker.start(address(20));
    workers.set(id, worker);
    store.put("keyed.servers", id, worker.entry());
    record.add(`${id} is ready at ${worker.address}`);
}

/** The worker leaves without a report that it drains. */
function removeWorker(id) {
    const worker = workers.get(id);
    store.put("keyed.servers", id);
    worker.leftMs = record.nowMs();
    record.add(`the store confirms that the entry of ${id} is removed`);
    setTimeout(() => {
        record.add(`${id} exits`);
        worker.stop();
        workers.delete(id);
    }, drainMs + lingerMs);
}

async function sendRequests(vm) {
    for (let count = 1; !isEnding; count++) {
        const requestId = `a${count}`;
        sentMs.set(requestId, record.nowMs());
        void requester.send({
            ip: vm.ip,
            port: vm.ports.front,
            method: "POST",
            path: "/book/1",
            headers: { host: "desk.example", "x-attempt-id": requestId, "x-api-key": "key-a", "x-deadline-ms": "3000" },
            body: "a callout",
        }).then(({ status }) => record.add(`${requestId} is answered ${status}`));
        record.add(`${requestId} is sent`);
        await sleep(requestIntervalMs);
    }
}

async function waitUntilReady(vm) {
    for (const endMs = record.nowMs() + startTimeoutMs; record.nowMs() < endMs && !vm.hasExited; await sleep(50)) {
        const { status } = await requester.send({ ip: vm.ip, port: vm.ports.ready, method: "GET", path: "/v1/ready", headers: {} });
        if (status === 200) {
            return true;
        }
    }
    return false;
}

async function playRound(round, leaveDelayMs) {
    if (isTroubled) {
        record.add("the path between the machine and the store is cut");
        proxy.cut();
        await sleep(minCutMs + round * cutStepMs);
        proxy.heal();
        calmSinceMs = record.nowMs();
        record.add("the path between the machine and the store is whole again");
    }
    await sleep(leaveDelayMs);
    removeWorker(`i-${round}`);
    await sleep(2_400);
    await addWorker(`i-${round + 3}`);
    await sleep(1_600);
}

async function main() {
    store.put("keyed.op", "config", createConfig());
    const storeAddress = await proxy.start(address(10), await store.start(address(11)));
    for (const id of ["i-1", "i-2", "i-3"]) {
        await addWorker(id);
    }
    const heartbeats = setInterval(() => {
        for (const worker of workers.values()) {
            if (worker.leftMs === undefined) {
                store.put("keyed.servers", worker.id, worker.entry());
            }
        }
    }, heartbeatMs);
    const vm = await startVm({ name: "front-1", ip: address(1), zone: "z1", storeAddress });
    try {
        if (!await waitUntilReady(vm)) {
            record.add("the machine did not get ready");
            return 2;
        }
        calmSinceMs = record.nowMs();
        record.add("the machine is ready");
        void sendRequests(vm);
        await sleep(stableWindowMs + 500);
        for (const [index, leaveDelayMs] of leaveAfterMs.entries()) {
            await playRound(index + 1, leaveDelayMs);
        }
        isEnding = true;
        await sleep(500);
        if (vm.hasExited) {
            record.add("the machine's process ended by itself");
            return 2;
        }
        record.add(`${violations.length} requests reached a worker later than ${drainMs} ms after its leaving`);
        return violations.length > 0 ? 1 : 0;
    }
    finally {
        isEnding = true;
        clearInterval(heartbeats);
        vm.stop();
        requester.stop();
    }
}

const exitCode = await main();
record.write();
process.exit(exitCode);
