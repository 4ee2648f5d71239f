import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { SwallowingProxy } from "../../standins/proxy/SwallowingProxy.js";
import { delay } from "../../standins/shared/delay.js";
import { readBody } from "../../standins/shared/readBody.js";
import type { SoakArrival } from "./SoakArrival.js";
import { soakEvents } from "./soakEvents.js";
import type { SoakRun } from "./SoakRun.js";
import { soakSeal } from "./soakSeal.js";

const eventGapMs = 40;
const answerDelayMs = 60;
const busyPauseMs = 1_500;

/** An upstream that executes calls and records each run. VMs reach it through a proxy that can disturb connections. */
export class SoakUpstream {
    readonly runs: SoakRun[] = [];
    readonly arrivals: SoakArrival[] = [];
    private readonly server: Server;
    private startedProxy: SwallowingProxy | undefined;
    private proxyPort = 0;
    private drainingSinceMs: number | undefined;
    private isBusy = false;
    private born = 1;

    constructor(readonly id: string, private readonly nowMs: () => number) {
        this.server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
            this.answer(request, response).catch(() => {
                request.socket.destroy();
            });
        });
    }

    async start(signal: AbortSignal): Promise<void> {
        this.server.listen(0, "127.0.0.1");
        await once(this.server, "listening");
        this.startedProxy = new SwallowingProxy((this.server.address() as AddressInfo).port);
        this.proxyPort = await this.startedProxy.start(signal);
        signal.addEventListener("abort", () => {
            this.server.close();
            this.server.closeAllConnections();
        }, { once: true });
    }

    get proxy(): SwallowingProxy {
        if (this.startedProxy === undefined) {
            throw new Error(`upstream ${this.id} has not been started; call start() first`);
        }
        return this.startedProxy;
    }

    /** Sets whether the upstream says in its entry that it is draining, and in its responses that it is leaving. */
    setDraining(isDraining: boolean): void {
        this.born += isDraining || this.drainingSinceMs === undefined ? 0 : 1;
        this.drainingSinceMs = isDraining ? this.nowMs() : undefined;
    }

    /** Sets whether the upstream turns all calls away and asks for a pause. */
    setBusy(isBusy: boolean): void {
        this.isBusy = isBusy;
    }

    /** Returns its entry in the list of upstreams, as JSON. */
    entry(sequence: number): string {
        const state = this.drainingSinceMs === undefined ? "ready" : "draining";
        return JSON.stringify({
            service: "work",
            address: `127.0.0.1:${this.proxyPort}`,
            zone: "z1",
            slots: 64,
            state,
            sequence,
            born: this.born,
        });
    }

    private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const id = String(request.headers["x-attempt-id"]);
        await readBody(request);
        if (request.headers["x-expect-instance"] !== this.id) {
            response.writeHead(421, { "x-attempt-id": id, "x-not-executed": "1" }).end();
            return;
        }
        const isLeaving = this.drainingSinceMs !== undefined;
        const pauseMs = this.isBusy ? busyPauseMs : undefined;
        this.arrivals.push({ id, upstream: this.id, born: this.born, atMs: this.nowMs(), pauseMs, isLeaving });
        const notice = isLeaving ? { "server-leaving": "1" } : {};
        if (pauseMs !== undefined) {
            const retryAfter = String(pauseMs / 1_000);
            response.writeHead(503, { "x-attempt-id": id, "x-not-executed": "1", "retry-after": retryAfter, ...notice }).end();
            return;
        }
        this.runs.push({ id, upstream: this.id, atMs: this.nowMs(), drainingSinceMs: this.drainingSinceMs });
        const head = { "x-attempt-id": id, "x-server-seal": soakSeal(id), ...notice };
        if (request.url?.startsWith("/stream/")) {
            response.writeHead(200, { ...head, "content-type": "text/event-stream" });
            for (const event of soakEvents(id, Number(request.headers["last-event-id"] ?? 0))) {
                await delay(eventGapMs);
                response.write(event);
            }
            response.end();
            return;
        }
        await delay(answerDelayMs);
        response.writeHead(200, head).end(`done ${id}`);
    }
}
