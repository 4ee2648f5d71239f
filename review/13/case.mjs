// A worker numbers the events of its streams with increasing integers of 64 bits. Each client gets its stream on a kept channel.
import { Client } from "../standins-3/client.mjs";
import { startFleet, stopFleet } from "../standins-3/fleet.mjs";
import { hasTrouble, Record } from "../standins-3/record.mjs";
import { createRoute, putConfig, register, requestHeaders } from "../standins-3/setup.mjs";
import { Store } from "../standins-3/store.mjs";
import { answerStream, streamEvents, Worker } from "../standins-3/worker.mjs";

const eventCount = 13;
const streamCount = 20;
/** Numbers of 64 bits that rise by one from one event of the worker to the next, over all of its streams. */
let nextEventId = hasTrouble ? 2n ** 53n + 1n : 1n;

const record = new Record(import.meta.url);
const sentEvents = new Map();

const worker = new Worker({
    id: "i-1",
    onRequest(exchange) {
        const ids = Array.from({ length: eventCount }, () => nextEventId++);
        const events = streamEvents(ids, exchange.id);
        sentEvents.set(exchange.id, events);
        answerStream(exchange, events, 10);
    },
});
const store = new Store();
const storePort = await store.listen();
await worker.listen();
putConfig(store, [
    createRoute("manual-diagnosis", "/manual/", "streaming", "pumpline-model", { timeout_ms: 5_000, target_latency_ms: 600 }),
]);
register(store, worker, "pumpline-model");
const [machine] = await startFleet(["front-1"], storePort);

const client = new Client(machine.ports.front);
let missing = 0;
let cut = 0;
for (let index = 0; index < streamCount; index++) {
    const headers = requestHeaders({ "X-Deadline-Ms": 5_000 });
    const id = headers["X-Attempt-Id"];
    const answer = await client.send({ path: "/manual/1", headers, body: "please" });
    const sent = sentEvents.get(id) ?? [];
    const received = answer.body.split("\n\n").filter(event => event !== "").map(event => `${event}\n\n`);
    // A piece is missing if a later one has arrived, or if the stream has ended as complete without it.
    const lastReceived = sent.indexOf(received.at(-1));
    const due = answer.isWhole ? sent : sent.slice(0, lastReceived + 1);
    const lost = due.filter(event => !received.includes(event));
    missing += lost.length > 0 ? 1 : 0;
    cut += answer.isWhole ? 0 : 1;
    record.add(
        `${id}: ${answer.status}, the worker sent ${sent.length} events and the end of the answer, ids ${
            /\d+/.exec(sent[0])?.[0]
        } and on; the client got ` +
            `${received.length} events ${answer.isWhole ? "and the end" : "and no end"}; missing before the last one: ${lost.length}`,
    );
}
client.close();
record.add(
    `streams with a piece missing: ${missing}; streams cut on a kept channel, passed on to a sound worker: ${cut} of ${streamCount}`,
);
await stopFleet([machine]);
record.end(missing > 0 ? 1 : 0);
