import { once } from "node:events";
import { createServer, request as httpRequest } from "node:http";
import { encodeRecord } from "./Store.mjs";

/** Time after which a worker gives up a call of the store that has got no answer. */
const storeTimeoutMs = 1_000;

/** Stand-in of a plain worker. It runs each call for `workMs` and writes its entry into the store every `heartbeatMs`. */
export class Worker {
    state = "ready";
    sequence = 0;
    born = Date.now();
    runs = [];
    /** Returns the status of a call that has run and failed; undefined for one that succeeds. */
    failAfterRun = undefined;
    isUp = true;

    constructor({ id, service, zone, slots, workMs, heartbeatMs, record }) {
        Object.assign(this, { id, service, zone, slots, workMs, heartbeatMs, record });
    }

    /** Opens the worker's port and begins its heartbeats to the store at `storeAddress`. */
    async start(host, storeAddress) {
        this.storeAddress = storeAddress;
        this.server = createServer((incoming, outgoing) => {
            this.answer(incoming, outgoing);
        });
        this.server.listen(0, host);
        await once(this.server, "listening");
        this.address = `${host}:${this.server.address().port}`;
        await this.beat();
        this.scheduleBeat();
    }

    /** Reports `draining` at once; resolves when the store has accepted it. All answers say from then on that the worker leaves. */
    async drain() {
        this.state = "draining";
        clearTimeout(this.beatTimer);
        await this.beat();
        this.scheduleBeat();
    }

    stop() {
        this.isUp = false;
        clearTimeout(this.beatTimer);
        this.server?.closeAllConnections();
        this.server?.close();
    }

    scheduleBeat() {
        if (this.isUp) {
            this.beatTimer = setTimeout(() => {
                void this.beat();
                this.scheduleBeat();
            }, this.heartbeatMs);
        }
    }

    entry() {
        const { service, address, zone, slots, state, sequence, born } = this;
        return { service, address, zone, version: "v1", slots, state, cold_left_ms: 0, sequence, born };
    }

    /** Writes the entry. Resolves with the status of the store, or with 0 when it has not answered in time. */
    beat(storeAddress = this.storeAddress) {
        this.sequence++;
        const [host, port] = storeAddress.split(":");
        const body = encodeRecord({ key: this.id, value: JSON.stringify(this.entry()) });
        return new Promise(resolve => {
            const path = "/v1/log-append?topic=keyed.servers&part=0";
            const call = httpRequest({ host, port, path, method: "POST", agent: false }, answer => {
                answer.resume().on("end", () => resolve(answer.statusCode));
            });
            call.on("error", () => resolve(0));
            setTimeout(() => resolve(0), storeTimeoutMs);
            call.end(body);
        });
    }

    answer(incoming, outgoing) {
        const leaving = this.state === "draining" ? { "server-leaving": "1" } : {};
        if (incoming.url === "/health") {
            outgoing.writeHead(this.state === "ready" ? 200 : 503, { "x-instance-id": this.id, ...leaving }).end();
            return;
        }
        const id = incoming.headers["x-attempt-id"];
        const expected = incoming.headers["x-expect-instance"];
        const echo = id === undefined ? {} : { "x-attempt-id": id };
        let body = "";
        incoming.on("data", chunk => body += chunk).on("end", () => {
            if (id === undefined) {
                outgoing.writeHead(400, { "x-not-executed": "1", ...leaving }).end();
                return;
            }
            if (expected !== undefined && expected !== this.id) {
                outgoing.writeHead(421, { ...echo, "x-instance-id": this.id, ...leaving }).end();
                return;
            }
            this.runs.push({ id, path: incoming.url, body, atMs: this.record.nowMs() });
            this.record.add("run", {
                worker: this.id,
                service: this.service,
                state: this.state,
                id,
                path: incoming.url,
                body: JSON.stringify(body),
            });
            const status = this.failAfterRun?.() ?? 200;
            setTimeout(() => {
                outgoing.writeHead(status, { ...echo, "x-server-seal": `${this.id}.${id}`, ...leaving });
                outgoing.end(`${this.service} answers ${id}`);
            }, this.workMs);
        });
    }
}
