import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallRecord } from "../shared/CallRecord.js";
import { delay } from "../shared/delay.js";
import { headerText } from "../shared/headerText.js";
import { readBody } from "../shared/readBody.js";
import { sendJson } from "../shared/sendJson.js";
import { StandinServer } from "../shared/StandinServer.js";

interface ServiceStandinOptions {
    readonly name: string;
    /** Time that a call takes. */
    readonly runMs: number;
    /** Answer a repeated key with the first answer instead of running it again. */
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

/** A plain service that counts what it executes by `Idempotency-Key`; faults are switched on by call. */
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

    /** What this service ran. */
    get calls(): readonly CallRecord[] {
        return this.server.calls.list();
    }

    /** Faults, for tests in the same process. */
    get faults(): StandinServer["faults"] {
        return this.server.faults;
    }

    /** How often a key was executed. */
    executionsOf(key: string): number {
        return this.executionsByKey.get(key) ?? 0;
    }

    private async route(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.url === "/_standin/executions") {
            sendJson(response, 200, Object.fromEntries(this.executionsByKey));
            return;
        }
        const body = await readBody(request);
        const late = this.faults.strike("land-late") ?? this.faults.strike("slow");
        if (late !== undefined) {
            await delay(late.delayMs);
        }
        if (this.faults.strike("leaving") !== undefined || this.faults.strike("refuse") !== undefined) {
            sendJson(response, 503, { error: "service takes no work" }, { "x-orioleshelf-outcome": "not-run" });
            return;
        }
        if (this.faults.strike("crash-before-run") !== undefined) {
            request.socket.resetAndDestroy();
            return;
        }
        if (this.faults.strike("silent") !== undefined) {
            return;
        }
        const answer = await this.execute(request, body);
        if (this.faults.strike("crash-after-run") !== undefined || this.faults.strike("lose-answer") !== undefined) {
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
