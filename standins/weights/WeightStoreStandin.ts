import type { IncomingMessage, ServerResponse } from "node:http";
import type { WeightStoreLimits } from "../../src/schema/platform/WeightStoreLimits.js";
import { delay } from "../shared/delay.js";
import { sendJson } from "../shared/sendJson.js";
import { StandinServer } from "../shared/StandinServer.js";

/** The platform's weight store: `GET /limits` returns the maximum number of concurrent model loads. */
export class WeightStoreStandin {
    private readonly server = new StandinServer((request, response) => this.handle(request, response));

    constructor(private limits: WeightStoreLimits = { maxConcurrentLoads: 2 }) {}

    /** Listens on loopback until `signal` aborts; resolves with the base URL. */
    start(signal: AbortSignal, port = 0): Promise<string> {
        return this.server.start(signal, port);
    }

    setLimits(limits: WeightStoreLimits): void {
        this.limits = limits;
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (this.server.faults.peek("silent") !== undefined) {
            return;
        }
        const slow = this.server.faults.consume("slow");
        if (slow !== undefined) {
            await delay(slow.delayMs);
        }
        if (request.method === "GET" && request.url === "/limits") {
            sendJson(response, 200, this.limits);
        }
        else {
            sendJson(response, 404, { error: "try GET /limits" });
        }
    }
}
