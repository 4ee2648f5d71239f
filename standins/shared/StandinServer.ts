import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { CallLog } from "./CallLog.js";
import { Fault } from "./Fault.js";
import { FaultSwitch } from "./FaultSwitch.js";
import { readBody } from "./readBody.js";
import { sendJson } from "./sendJson.js";

/** An HTTP server on loopback with the endpoints that every stand-in serves: `GET /_standin/calls` and `POST /_standin/faults`. */
export class StandinServer {
    readonly calls = new CallLog();
    readonly faults = new FaultSwitch();
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    /** `handle` serves all other requests; if its promise rejects, the connection is closed. */
    constructor(private readonly handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>) {
        this.server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
            this.route(request, response).catch(() => {
                request.socket.destroy();
            });
        });
        this.server.on("connection", (socket: Socket) => {
            socket.setNoDelay(true);
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
    }

    /** Listens until `signal` aborts; resolves with the base URL. */
    start(signal: AbortSignal, port = 0): Promise<string> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, "127.0.0.1", () => {
                resolve(`http://127.0.0.1:${(this.server.address() as AddressInfo).port}`);
            });
            signal.addEventListener("abort", () => {
                this.server.close();
                for (const socket of this.sockets) {
                    socket.destroy();
                }
            }, { once: true });
        });
    }

    private async route(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.url === "/_standin/calls") {
            sendJson(response, 200, this.calls.list());
            return;
        }
        if (request.url === "/_standin/faults" && request.method === "POST") {
            await this.setFault(request, response);
            return;
        }
        if (this.faults.consume("down") !== undefined) {
            request.socket.resetAndDestroy();
            return;
        }
        await this.handle(request, response);
    }

    private async setFault(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const parsed = Fault.safeParse(parseJson(await readBody(request)));
        if (!parsed.success) {
            sendJson(response, 400, { error: parsed.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`) });
            return;
        }
        this.faults.set(parsed.data);
        sendJson(response, 200, { ok: true });
    }
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        return undefined;
    }
}
