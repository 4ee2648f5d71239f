import { createServer } from "node:http";

/**
 * A worker of a plain service. It answers 421 to a request that names another worker, runs every other request, and answers with its digest
 * and the id of the request.
 */
export class Worker {
    /**
     * `onArrival` is called with the id of each request that reaches this worker. When it returns a number, the worker does not run the request
     * but turns it away with 503 and asks for a pause of so many seconds.
     */
    constructor({ id, service, zone, slots, workMs, onArrival }) {
        Object.assign(this, { id, service, zone, slots, workMs, onArrival, bornMs: Date.now(), sequence: 0, address: "" });
        this.server = createServer((request, response) => this.#answer(request, response));
    }

    /** Listens on a free port of this address. */
    async start(host) {
        await new Promise(resolve => this.server.listen(0, host, resolve));
        this.address = `${host}:${this.server.address().port}`;
    }

    stop() {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** The entry that this worker writes in the store. */
    entry(state = "ready") {
        const { service, address, zone, slots, bornMs } = this;
        return JSON.stringify({
            service,
            address,
            zone,
            version: "v1",
            slots,
            state,
            cold_left_ms: 0,
            sequence: ++this.sequence,
            born: bornMs,
        });
    }

    #answer(request, response) {
        const requestId = request.headers["x-attempt-id"];
        if (request.headers["x-expect-instance"] !== this.id) {
            request.resume();
            response.writeHead(421, { "x-attempt-id": requestId, "x-instance-id": this.id, "x-not-executed": "1" }).end();
            return;
        }
        request.resume().once("end", () => {
            const pauseSeconds = this.onArrival(requestId);
            if (pauseSeconds !== undefined) {
                response.writeHead(503, {
                    "x-attempt-id": requestId,
                    "x-not-executed": "1",
                    "retry-after": String(pauseSeconds),
                    "content-length": "0",
                }).end();
                return;
            }
            setTimeout(() => {
                const body = `${this.id} ${requestId}`;
                response.writeHead(200, {
                    "x-attempt-id": requestId,
                    "x-server-seal": `seal.${requestId}`,
                    "content-length": Buffer.byteLength(body),
                }).end(body);
            }, this.workMs);
        });
    }
}
