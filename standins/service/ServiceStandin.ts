import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallRecord } from "../shared/CallRecord.js";
import { delay } from "../shared/delay.js";
import { headerText } from "../shared/headerText.js";
import { readBody } from "../shared/readBody.js";
import { sendJson } from "../shared/sendJson.js";
import { StandinServer } from "../shared/StandinServer.js";

interface ServiceStandinOptions {
    readonly name: string;
    /** Execution time of a request. */
    readonly runMs: number;
    /** Whether a repeated idempotency key gets the first answer instead of another execution. */
    readonly deduplicatesByKey: boolean;
}

interface ServiceAnswer {
    readonly execution: number;
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly received: string;
}

const defaultOptions: ServiceStandinOptions = { name: "bookings", runMs: 0, deduplicatesByKey: false };

/** An HTTP service that counts its executions by `Idempotency-Key` and supports fault injection. */
export class ServiceStandin {
    private readonly options: ServiceStandinOptions;
    private readonly server: StandinServer;
    private readonly executionsByKey = new Map<string, number>();
    private readonly answersByKey = new Map<string, ServiceAnswer>();
    private executions = 0;

    constructor(options: Partial<ServiceStandinOptions> = {}) {
        this.options = { ...defaultOptions, ...options };
        this.server = new StandinServer((request, response) => this.route(request, response));
    }

    /** Listens until `signal` aborts; resolves with the base URL. */
    start(signal: AbortSignal, port = 0): Promise<string> {
        return this.server.start(signal, port);
    }

    /** Requests that this service executed. */
    get calls(): readonly CallRecord[] {
        return this.server.calls.list();
    }

    /** Active faults, for tests in the same process. */
    get faults(): StandinServer["faults"] {
        return this.server.faults;
    }

    /** Number of executions for an idempotency key. */
    executionsOf(key: string): number {
        return this.executionsByKey.get(key) ?? 0;
    }

    private async route(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.url === "/_standin/executions") {
            sendJson(response, 200, Object.fromEntries(this.executionsByKey));
            return;
        }
        const body = await readBody(request);
        const delayFault = this.faults.consume("land-late") ?? this.faults.consume("slow");
        if (delayFault !== undefined) {
            await delay(delayFault.delayMs);
        }
        if (this.faults.consume("leaving") !== undefined || this.faults.consume("refuse") !== undefined) {
            sendJson(response, 503, { error: "service takes no work" }, { "x-orioleshelf-outcome": "not-run" });
            return;
        }
        if (this.faults.consume("crash-before-run") !== undefined) {
            request.socket.resetAndDestroy();
            return;
        }
        if (this.faults.consume("silent") !== undefined) {
            return;
        }
        const answer = await this.execute(request, body);
        if (this.faults.consume("crash-after-run") !== undefined || this.faults.consume("lose-answer") !== undefined) {
            request.socket.resetAndDestroy();
            return;
        }
        sendJson(response, 200, answer);
    }

    private async execute(request: IncomingMessage, body: Buffer): Promise<ServiceAnswer> {
        const key = headerText(request, "idempotency-key");
        const known = key === undefined || !this.options.deduplicatesByKey ? undefined : this.answersByKey.get(key);
        if (known !== undefined) {
            return known;
        }
        const path = request.url ?? "/";
        const method = request.method ?? "GET";
        const record = this.server.calls.add({ idempotencyKey: key, requestId: headerText(request, "x-request-id"), method, path });
        this.executions++;
        const answer = { execution: this.executions, service: this.options.name, method, path, received: body.toString("utf8") };
        if (key !== undefined) {
            this.executionsByKey.set(key, this.executionsOf(key) + 1);
            this.answersByKey.set(key, answer);
        }
        await delay(this.options.runMs);
        record.state = "done";
        record.endedMs = Date.now();
        return answer;
    }
}
