// A worker of a service on a raw TCP socket, so that a test decides each byte of its answers.
import { createServer } from "node:net";

export class Worker {
    /** Requests in the order of their heads: { id, line, headers, bodyBytes, connection }. */
    requests = [];
    sockets = new Set();
    connections = 0;

    /**
     * `onHead(exchange)` is called when the head of a request is in, `onRequest(exchange)` when the whole request is. The exchange has the
     * socket, the id and the headers of the request. If `onHead` returns true, `onRequest` is not called for the request.
     */
    constructor({ id, onHead = () => false, onRequest = () => undefined }) {
        Object.assign(this, { id, onHead, onRequest });
        this.server = createServer({ allowHalfOpen: true }, socket => this.accept(socket));
    }

    listen(port = 0) {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, "127.0.0.1", () => {
                this.port = this.server.address().port;
                resolve(this.port);
            });
        });
    }

    close() {
        this.server.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    accept(socket) {
        const connection = ++this.connections;
        this.sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        // A sound server closes its half of a channel that the other end has closed, once it has nothing left to send.
        socket.on("end", () => {
            if (!socket.isAnswering) {
                socket.end();
            }
        });
        let pending = Buffer.alloc(0);
        let current;
        socket.on("data", bytes => {
            pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes]);
            for (;;) {
                if (current === undefined) {
                    const headEnd = pending.indexOf("\r\n\r\n");
                    if (headEnd < 0) {
                        return;
                    }
                    const [line, ...fields] = pending.toString("latin1", 0, headEnd).split("\r\n");
                    pending = pending.subarray(headEnd + 4);
                    const headers = {};
                    for (const field of fields) {
                        const colon = field.indexOf(":");
                        headers[field.slice(0, colon).toLowerCase()] = field.slice(colon + 1).trim();
                    }
                    const length = Number(headers["content-length"] ?? 0);
                    current = { worker: this, socket, connection, line, headers, id: headers["x-attempt-id"], length, bodyBytes: 0 };
                    this.requests.push(current);
                    current.isDone = this.onHead(current) === true;
                }
                const taken = Math.min(pending.length, current.length - current.bodyBytes);
                current.bodyBytes += taken;
                pending = pending.subarray(taken);
                if (current.bodyBytes < current.length) {
                    return;
                }
                const done = current;
                current = undefined;
                if (!done.isDone) {
                    this.onRequest(done);
                }
            }
        });
    }
}

/** Head of an answer of the worker to a request. */
export function answerHead({ id, worker }, status, reason, fields = {}) {
    const lines = Object.entries({ "X-Attempt-Id": id, "X-Server-Seal": `seal.${worker.id}.${id}`, ...fields })
        .filter(([, value]) => value !== undefined).map(([name, value]) => `${name}: ${value}\r\n`);
    return `HTTP/1.1 ${status} ${reason}\r\n${lines.join("")}\r\n`;
}

/** Sends a whole answer with a length. */
export function answerWhole(exchange, body, fields = {}) {
    exchange.socket.write(answerHead(exchange, 200, "OK", { "Content-Length": Buffer.byteLength(body), ...fields }) + body);
}

/** The pieces of a stream as they are to reach the client, one for each id. */
export function streamEvents(ids, id) {
    return ids.map((eventId, index) => `id: ${eventId}\ndata: piece ${index + 1} of ${id}\n\n`);
}

/** Sends a stream of events in chunks, `gapMs` apart, with its end. */
export function answerStream(exchange, events, gapMs = 5) {
    const { socket } = exchange;
    socket.isAnswering = true;
    socket.write(answerHead(exchange, 200, "OK", { "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked" }));
    let index = 0;
    const timer = setInterval(() => {
        if (socket.destroyed) {
            clearInterval(timer);
        }
        else if (index < events.length) {
            const event = events[index++];
            socket.write(`${Buffer.byteLength(event).toString(16)}\r\n${event}\r\n`);
        }
        else {
            clearInterval(timer);
            socket.write("0\r\n\r\n");
            socket.isAnswering = false;
        }
    }, gapMs);
}
