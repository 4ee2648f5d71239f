// Workers reject a few long requests before they are in, with answers that have no length and end with their channels. Afterwards the workers are
// sound, and the streams of clients on kept channels are checked, in calm and around a SIGHUP.
import { setTimeout as sleep } from "node:timers/promises";
import { Client } from "../standins-3/client.mjs";
import { startFleet, stopFleet } from "../standins-3/fleet.mjs";
import { hasTrouble, Record } from "../standins-3/record.mjs";
import { createRoute, putConfig, register, requestHeaders } from "../standins-3/setup.mjs";
import { Store } from "../standins-3/store.mjs";
import { answerHead, answerStream, answerWhole, streamEvents, Worker } from "../standins-3/worker.mjs";

/** Within `body_bytes`, which is 4,194,304. */
const longBodyBytes = 4_190_000;
/** At one of the two workers, at most this share of its answers so far; the largest dose of the kind is share 0.6, x 0.03. */
const rejectingId = "i-1";
const rejectedShare = 0.03;
const longRequests = 16;
const longGapMs = 150;
const warmUpMs = 4_000;
const usualClients = 16;
/** Pause of a client between an answer and its next request. */
const thinkMs = 80;
/** `stable_window_ms` is 3,000. */
const calmMs = 5_000;
/** `config_apply_ms`. */
const changeMs = 2_000;
const checkMs = 4_000;
const ids = Array.from({ length: 10 }, (_, index) => index + 1);

const record = new Record(import.meta.url);
let isRejecting = false;
let rejected = 0;
const answers = {};
const completed = new Set();
const requests = new Map();

function startWorker(id) {
    return new Worker({
        id,
        onHead(exchange) {
            requests.set(exchange.id, exchange);
            answers[id] = (answers[id] ?? 0) + 1;
            if (!isRejecting || id !== rejectingId || exchange.length < longBodyBytes || rejected + 1 > answers[id] * rejectedShare) {
                return false;
            }
            // Rejects the request before it is in, closes its half of the channel, and reads on later.
            const { socket } = exchange;
            rejected++;
            socket.pause();
            socket.end(answerHead(exchange, 503, "Service Unavailable", { "X-Server-Seal": undefined, "X-Not-Executed": 1 }));
            setTimeout(() => socket.resume(), 300);
            return true;
        },
        onRequest(exchange) {
            completed.add(exchange.id);
            if (exchange.line.includes("/parts/")) {
                answerStream(exchange, streamEvents(ids, exchange.id), 10);
            }
            else {
                setTimeout(() => answerWhole(exchange, `booked ${exchange.id}`), 20);
            }
        },
    });
}

const store = new Store();
const storePort = await store.listen();
const workers = ["i-1", "i-2"].map(startWorker);
for (const worker of workers) {
    await worker.listen();
}
putConfig(store, [
    createRoute("parts-query", "/parts/", "streaming", "pumpline-model", { timeout_ms: 15_000 }),
    createRoute("callout-booking", "/book/", "non_idempotent", "pumpline-model"),
]);
for (const worker of workers) {
    register(store, worker, "pumpline-model");
}
const [machine] = await startFleet(["front-1"], storePort);

const results = [];

/** Sends one request after the other on a kept channel until `endMs`. */
async function sendUntil(client, path, endMs) {
    while (performance.now() < endMs) {
        const headers = requestHeaders();
        const sentMs = performance.now();
        const answer = await client.send({ path, headers, body: "please" });
        results.push({ id: headers["X-Attempt-Id"], path, sentMs, endMs: performance.now(), answer });
        await sleep(thinkMs);
    }
}

const clients = Array.from({ length: usualClients }, () => new Client(machine.ports.front));
const sendAll = endMs => Promise.all(clients.map((client, index) => sendUntil(client, index % 2 === 0 ? "/parts/1" : "/book/1", endMs)));

const endOfCaseMs = performance.now() + warmUpMs + longRequests * (longGapMs + 150) + calmMs + 2 * checkMs;
record.add(`usual requests on ${usualClients} kept channels, until the end`);
const usual = sendAll(endOfCaseMs);
await sleep(warmUpMs);
record.add(
    `${longRequests} long requests beside the usual ones; ${
        hasTrouble ? `${rejectingId} rejects some before they are in` : "all are read to their end"
    }`,
);
isRejecting = hasTrouble;
const long = [];
for (let index = 0; index < longRequests; index++) {
    const client = new Client(machine.ports.front);
    const answer = await client.send({ path: "/book/1", headers: requestHeaders(), body: "y".repeat(longBodyBytes) });
    client.close();
    long.push(answer.status);
    await sleep(longGapMs);
}
isRejecting = false;
record.add(
    `${rejected} of ${results.length + longRequests} requests so far were rejected early; the long ones got ${
        long.join(", ")
    }; all workers are sound from now on`,
);
await sleep(calmMs);

const calmStartMs = performance.now();
await sleep(checkMs);
const hangupMs = performance.now();
machine.child.kill("SIGHUP");
record.add("SIGHUP");
await usual;

const isOn = path => ({ path: resultPath }) => resultPath === path;
const isCut = ({ id, answer }) => completed.has(id) && (answer.status === 0 || answer.status === 200 && !answer.isWhole);
const inCalm = results.filter(({ sentMs }) => sentMs >= calmStartMs);
const cut = inCalm.filter(isCut);
const cutAtHangup = cut.filter(({ sentMs, endMs }) => sentMs >= hangupMs && sentMs <= hangupMs + changeMs && endMs > hangupMs);
const runAndFailed = inCalm.filter(({ id, answer }) => completed.has(id) && answer.status >= 500);
for (const { id, path, sentMs, endMs, answer } of cut.slice(0, 10)) {
    const { worker, connection } = requests.get(id);
    record.add(
        `${id} ${path}: passed on to ${worker.id} on its channel ${connection}, which sent a whole answer; the client got ${answer.status}, ` +
            `${answer.body.split("\n\n").length - 1} of ${ids.length} events and no end, after ${(endMs - sentMs).toFixed(0)} ms`,
    );
}
record.add(
    `sent in calm, over 3 s after the last rejection: ${inCalm.filter(isOn("/parts/1")).length} streams, ${
        inCalm.filter(isOn("/book/1")).length
    } bookings`,
);
record.add(
    `streams whose channel was closed before their end although the worker sent them whole: ${cut.length}, ${cutAtHangup.length} of them sent up to ${changeMs} ms after the SIGHUP`,
);
record.add(`bookings that a worker ran and answered with 200, and whose clients got a 5xx: ${runAndFailed.length}`);
clients.forEach(client => client.close());
await stopFleet([machine]);
record.end(cutAtHangup.length > 0 || cut.length > 3 ? 1 : 0);
