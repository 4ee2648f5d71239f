// A requester with one kept channel on a raw TCP socket. It tells a whole answer from one that its channel cut.
import { connect } from "node:net";

export class Client {
    socket;
    pending = Buffer.alloc(0);
    waiting;

    constructor(port) {
        this.port = port;
    }

    open() {
        if (this.socket !== undefined && !this.socket.destroyed) {
            return Promise.resolve();
        }
        this.pending = Buffer.alloc(0);
        return new Promise((resolve, reject) => {
            const socket = connect(this.port, "127.0.0.1");
            this.socket = socket;
            socket.setNoDelay(true);
            socket.once("connect", resolve);
            socket.once("error", reject);
            socket.on("error", () => undefined);
            socket.on("data", bytes => {
                if (this.socket !== socket) {
                    return;
                }
                this.pending = Buffer.concat([this.pending, bytes]);
                this.parse();
            });
            const finish = () => {
                socket.destroy();
                if (this.socket === socket) {
                    this.parse(true);
                }
            };
            socket.on("end", finish);
            socket.on("close", finish);
        });
    }

    /**
     * Sends a request and resolves with { status, headers, body, isWhole, isKept }. `isWhole` is false where the channel ended before the end of the
     * answer; `status` is 0 where it ended before the head.
     */
    async send({ method = "POST", path, headers, body = "", timeoutMs = 20_000 }) {
        await this.open();
        const bytes = Buffer.from(body);
        const lines = Object.entries({ Host: "h.example", ...headers, "Content-Length": bytes.length }).map(([name, value]) =>
            `${name}: ${value}\r\n`
        );
        const answer = new Promise(resolve => {
            const timer = setTimeout(() => {
                this.socket.destroy();
                this.parse(true);
            }, timeoutMs);
            this.waiting = result => {
                clearTimeout(timer);
                this.waiting = undefined;
                resolve(result);
            };
        });
        this.socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n`);
        this.socket.write(bytes);
        return await answer;
    }

    parse(isEnded = false) {
        const { waiting } = this;
        if (waiting === undefined) {
            return;
        }
        const headEnd = this.pending.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            if (isEnded) {
                waiting({ status: 0, headers: {}, body: "", isWhole: false, isKept: false });
            }
            return;
        }
        const [line, ...fields] = this.pending.toString("latin1", 0, headEnd).split("\r\n");
        const headers = Object.fromEntries(fields.map(field => [
            field.slice(0, field.indexOf(":")).toLowerCase(),
            field.slice(field.indexOf(":") + 1).trim(),
        ]));
        const rest = this.pending.subarray(headEnd + 4);
        const { body, end } = headers["transfer-encoding"] === "chunked" ? readChunks(rest) : readLength(rest, headers["content-length"]);
        if (end === undefined && !isEnded) {
            return;
        }
        const isKept = end !== undefined && !isEnded && headers["connection"] !== "close";
        this.pending = end === undefined ? Buffer.alloc(0) : rest.subarray(end);
        if (!isKept) {
            this.socket.destroy();
        }
        waiting({ status: Number(line.split(" ")[1]), headers, body: body.toString(), isWhole: end !== undefined, isKept });
    }

    close() {
        this.socket?.destroy();
    }
}

function readLength(rest, length) {
    const end = Number(length ?? NaN);
    return rest.length >= end ? { body: rest.subarray(0, end), end } : { body: rest, end: undefined };
}

function readChunks(rest) {
    const parts = [];
    for (let position = 0;;) {
        const lineEnd = rest.indexOf("\r\n", position);
        if (lineEnd < 0) {
            return { body: Buffer.concat(parts), end: undefined };
        }
        const size = Number.parseInt(rest.toString("latin1", position, lineEnd), 16);
        const end = lineEnd + 2 + size + 2;
        if (end > rest.length) {
            return {
                body: Buffer.concat([...parts, rest.subarray(lineEnd + 2, Math.min(rest.length, lineEnd + 2 + size))]),
                end: undefined,
            };
        }
        if (size === 0) {
            return { body: Buffer.concat(parts), end };
        }
        parts.push(rest.subarray(lineEnd + 2, lineEnd + 2 + size));
        position = end;
    }
}
