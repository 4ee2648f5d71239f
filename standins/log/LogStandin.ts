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
 * A small log service on the loopback address.
 * `POST /streams/NAME` appends the body, `GET /streams/NAME?offset=&waitMs=` reads, `PUT /faults` replaces the faults in force.
 */
export class LogStandin {
    private readonly streams = new Map<string, LogStream>();
    private readonly appendTimesMs: number[] = [];
    private readonly silentUntilStop: (() => void)[] = [];
    private faults = LogFaults.parse({});
    private appended = 0;
    private bytes = 0;
    private closed = false;

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

    /** Appends that took effect, repeated ones included. */
    get appendCount(): number {
        return this.appended;
    }

    /** Bytes of those appends. */
    get appendedBytes(): number {
        return this.bytes;
    }

    setFaults(faults: z.input<typeof LogFaults>): void {
        this.faults = LogFaults.parse(faults);
        this.forget();
    }

    /** Appends past every fault, as an operator's own tool would. */
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
        const refusal = await this.refuse(context);
        if (refusal !== undefined) {
            return refusal;
        }
        if (!this.admitAppend()) {
            return context.json({ error: "rate limited" }, 429);
        }
        const name = context.req.param("name") ?? "";
        if (this.faults.landLateCount > 0) {
            return this.landLate(name, payload);
        }
        const offset = this.store(name, payload);
        if (this.faults.loseAnswerCount > 0) {
            this.faults.loseAnswerCount--;
            return this.neverAnswer();
        }
        if (this.faults.isSilent) {
            return this.neverAnswer();
        }
        return context.json({ offset });
    }

    private landLate(name: string, payload: Uint8Array): Promise<Response> {
        this.faults.landLateCount--;
        setTimeout(() => {
            if (!this.closed) {
                this.store(name, payload);
            }
        }, this.faults.lateByMs).unref();
        return this.neverAnswer();
    }

    private store(name: string, payload: Uint8Array): number {
        const offset = this.appendDirectly(name, payload);
        if (this.faults.repeatCount > 0) {
            this.faults.repeatCount--;
            this.appendDirectly(name, payload);
        }
        this.forget();
        return offset;
    }

    private async handleRead(context: Context): Promise<Response> {
        const refusal = await this.refuse(context);
        if (refusal !== undefined) {
            return refusal;
        }
        if (this.faults.isSilent) {
            return this.neverAnswer();
        }
        const stream = this.stream(context.req.param("name") ?? "");
        const offset = Number(context.req.query("offset"));
        const waitMs = Number(context.req.query("waitMs"));
        if (offset >= stream.nextOffset && waitMs > 0) {
            await stream.nextAppend(waitMs);
            const lateRefusal = await this.refuse(context);
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

    /** The answer to a call that a fault keeps from being served. */
    private async refuse(context: Context): Promise<Response | undefined> {
        if (this.faults.delayMs > 0) {
            await new Promise(resolve => setTimeout(resolve, this.faults.delayMs));
        }
        const zone = context.req.header("x-availability-zone");
        if (this.faults.reachableZones !== undefined && !this.faults.reachableZones.includes(zone ?? "")) {
            return this.neverAnswer();
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

    /** A connection that stays open without an answer until the stand-in stops. */
    private neverAnswer(): Promise<Response> {
        return new Promise(resolve => {
            this.silentUntilStop.push(() => {
                resolve(new Response(undefined, { status: 503 }));
            });
        });
    }

    private forget(): void {
        if (this.faults.keptRecords === undefined) {
            return;
        }
        for (const stream of this.streams.values()) {
            stream.forget(this.faults.keptRecords);
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
        this.closed = true;
        for (const stream of this.streams.values()) {
            stream.endWaits();
        }
        for (const answer of this.silentUntilStop) {
            answer();
        }
        server.close();
        if ("closeAllConnections" in server) {
            server.closeAllConnections();
        }
    }
}
