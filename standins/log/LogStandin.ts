import { serve } from "@hono/node-server";
import type { ServerType } from "@hono/node-server";
import type { Context } from "hono";
import { Hono } from "hono";
import type * as z from "zod";
import { LogFaults } from "./LogFaults.js";
import { LogStream } from "./LogStream.js";

const maxReadRecords = 1_000;
const rateWindowMs = 1_000;

/**
 * An in-memory log service on loopback.
 * `POST /streams/NAME` appends the body, `GET /streams/NAME?offset=&waitMs=` reads, `PUT /faults` replaces the active faults.
 */
export class LogStandin {
    private readonly streams = new Map<string, LogStream>();
    private readonly appendTimesMs: number[] = [];
    private readonly hangingResponses: (() => void)[] = [];
    private faults = LogFaults.parse({});
    private appended = 0;
    private bytes = 0;
    private isStopped = false;

    /** Serves until `signal` aborts; resolves once the port is open. */
    async start(signal: AbortSignal, port = 0): Promise<{ url: string; }> {
        const app = this.routes();
        const { server, url } = await new Promise<{ server: ServerType; url: string; }>(resolve => {
            const opened: ServerType = serve({ fetch: app.fetch, port, hostname: "127.0.0.1" }, address => {
                resolve({ server: opened, url: `http://127.0.0.1:${address.port}` });
            });
        });
        signal.addEventListener("abort", () => {
            this.stop(server);
        }, { once: true });
        return { url };
    }

    /** Number of appends that took effect, including repeated ones. */
    get appendCount(): number {
        return this.appended;
    }

    /** Total payload size of the appends that took effect, in bytes. */
    get appendedBytes(): number {
        return this.bytes;
    }

    setFaults(faults: z.input<typeof LogFaults>): void {
        this.faults = LogFaults.parse(faults);
        this.trimStreams();
    }

    /** Appends without applying any fault; returns the offset. */
    appendDirectly(name: string, payload: Uint8Array): number {
        this.appended++;
        this.bytes += payload.length;
        return this.stream(name).append(payload);
    }

    private routes(): Hono {
        const app = new Hono();
        app.put("/faults", async context => {
            const parsed = LogFaults.safeParse(await context.req.json());
            if (!parsed.success) {
                return context.json({ error: parsed.error.message }, 400);
            }
            this.setFaults(parsed.data);
            return context.json(this.faults);
        });
        app.get("/faults", context => context.json(this.faults));
        app.get("/statistics", context => context.json({ appendCount: this.appended }));
        app.post("/streams/:name", context => this.handleAppend(context));
        app.get("/streams/:name", context => this.handleRead(context));
        return app;
    }

    private async handleAppend(context: Context): Promise<Response> {
        const payload = new Uint8Array(await context.req.arrayBuffer());
        const refusal = await this.applyRequestFaults(context);
        if (refusal !== undefined) {
            return refusal;
        }
        if (!this.admitAppend()) {
            return context.json({ error: "rate limited" }, 429);
        }
        const name = context.req.param("name") ?? "";
        if (this.faults.landLateCount > 0) {
            return this.appendLate(name, payload);
        }
        const offset = this.store(name, payload);
        if (this.faults.loseAnswerCount > 0) {
            this.faults.loseAnswerCount--;
            return this.hangUntilStop();
        }
        if (this.faults.isSilent) {
            return this.hangUntilStop();
        }
        return context.json({ offset });
    }

    private appendLate(name: string, payload: Uint8Array): Promise<Response> {
        this.faults.landLateCount--;
        setTimeout(() => {
            if (!this.isStopped) {
                this.store(name, payload);
            }
        }, this.faults.lateByMs).unref();
        return this.hangUntilStop();
    }

    private store(name: string, payload: Uint8Array): number {
        const offset = this.appendDirectly(name, payload);
        if (this.faults.repeatCount > 0) {
            this.faults.repeatCount--;
            this.appendDirectly(name, payload);
        }
        this.trimStreams();
        return offset;
    }

    private async handleRead(context: Context): Promise<Response> {
        const refusal = await this.applyRequestFaults(context);
        if (refusal !== undefined) {
            return refusal;
        }
        if (this.faults.isSilent) {
            return this.hangUntilStop();
        }
        const stream = this.stream(context.req.param("name") ?? "");
        const offset = Number(context.req.query("offset"));
        const waitMs = Number(context.req.query("waitMs"));
        if (offset >= stream.nextOffset && waitMs > 0) {
            await stream.nextAppend(waitMs);
            const lateRefusal = await this.applyRequestFaults(context);
            if (lateRefusal !== undefined) {
                return lateRefusal;
            }
        }
        if (offset < stream.firstOffset) {
            return context.json({ firstOffset: stream.firstOffset }, 410);
        }
        const records = stream.read(offset, maxReadRecords);
        return context.json({
            records: records.map(record => ({ offset: record.offset, payload: Buffer.from(record.payload).toString("base64") })),
        });
    }

    /** Applies the faults common to all stream requests; returns a response if one of them prevents the request from being served. */
    private async applyRequestFaults(context: Context): Promise<Response | undefined> {
        if (this.faults.delayMs > 0) {
            await new Promise(resolve => setTimeout(resolve, this.faults.delayMs));
        }
        const zone = context.req.header("x-availability-zone");
        if (this.faults.reachableZones !== undefined && !this.faults.reachableZones.includes(zone ?? "")) {
            return this.hangUntilStop();
        }
        return this.faults.isDown ? context.json({ error: "down" }, 503) : undefined;
    }

    private admitAppend(): boolean {
        const nowMs = performance.now();
        while (this.appendTimesMs[0] !== undefined && this.appendTimesMs[0] <= nowMs - rateWindowMs) {
            this.appendTimesMs.shift();
        }
        if (this.faults.appendsPerSecond !== undefined && this.appendTimesMs.length >= this.faults.appendsPerSecond) {
            return false;
        }
        this.appendTimesMs.push(nowMs);
        return true;
    }

    /** Leaves the request without a response until the stand-in stops. */
    private hangUntilStop(): Promise<Response> {
        return new Promise(resolve => {
            this.hangingResponses.push(() => {
                resolve(new Response(undefined, { status: 503 }));
            });
        });
    }

    private trimStreams(): void {
        if (this.faults.keptRecords === undefined) {
            return;
        }
        for (const stream of this.streams.values()) {
            stream.trim(this.faults.keptRecords);
        }
    }

    private stream(name: string): LogStream {
        let stream = this.streams.get(name);
        if (stream === undefined) {
            stream = new LogStream();
            this.streams.set(name, stream);
        }
        return stream;
    }

    private stop(server: ServerType): void {
        this.isStopped = true;
        for (const stream of this.streams.values()) {
            stream.cancelWaits();
        }
        for (const answer of this.hangingResponses) {
            answer();
        }
        server.close();
        if ("closeAllConnections" in server) {
            server.closeAllConnections();
        }
    }
}
