import { Agent, request } from "undici";
import type { SoakCall } from "./SoakCall.js";
import type { SoakRoute } from "./SoakRoute.js";

interface SoakCallerOptions {
    readonly vm: string;
    /** `HOST:PORT` of the VM. */
    readonly address: string;
    readonly nowMs: () => number;
    readonly random: () => number;
    readonly onCall: (call: SoakCall) => void;
}

const deadlineMs = { once: 1_500, repeatable: 1_500, stream: 3_000 };
const meanCallGapMs = 60;
const connections = 4;
let nextId = 0;

/** Sends calls on all routes to one VM over keep-alive connections. */
export class SoakCaller {
    private readonly agent = new Agent({ connections, pipelining: 1, connect: { timeout: 1_000 } });

    constructor(private readonly options: SoakCallerOptions) {}

    /** Sends calls until `signal` aborts; resolves when the last call has ended. */
    async run(signal: AbortSignal): Promise<void> {
        const inFlight = new Set<Promise<void>>();
        while (!signal.aborted) {
            const draw = this.options.random();
            const call = this.call(draw < 0.35 ? "once" : draw < 0.7 ? "repeatable" : "stream").finally(() => inFlight.delete(call));
            inFlight.add(call);
            await new Promise(resolve => {
                setTimeout(resolve, meanCallGapMs * 2 * this.options.random());
            });
        }
        await Promise.all(inFlight);
        await this.agent.destroy();
    }

    private async call(route: SoakRoute): Promise<void> {
        const { vm, address, nowMs, onCall } = this.options;
        const id = `${vm}-${nextId++}`;
        const call: SoakCall = { id, route, vm, sentMs: nowMs(), endedMs: 0, status: 0, seal: undefined, text: "", error: undefined };
        try {
            const reply = await request(`http://${address}/${route}/x`, {
                dispatcher: this.agent,
                method: "POST",
                headers: { host: "soak.example", "x-attempt-id": id, "x-api-key": "key-1", "x-deadline-ms": String(deadlineMs[route]) },
                body: "please",
                headersTimeout: deadlineMs[route] + 1_000,
                bodyTimeout: deadlineMs[route] + 1_000,
            });
            call.status = reply.statusCode;
            call.seal = reply.headers["x-server-seal"] as string | undefined;
            for await (const chunk of reply.body) {
                call.text += String(chunk);
            }
        }
        catch (error) {
            call.error = error instanceof Error ? error.message : String(error);
        }
        call.endedMs = nowMs();
        onCall(call);
    }
}
