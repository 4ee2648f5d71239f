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

const patienceMs = { once: 1_500, repeatable: 1_500, stream: 3_000 };
const gapMs = 60;
const connections = 4;
let nextId = 0;

/** Sends calls of all kinds to one VM, on connections that it keeps open until the VM closes them or is gone. */
export class SoakCaller {
    private readonly agent = new Agent({ connections, pipelining: 1, connect: { timeout: 1_000 } });

    constructor(private readonly options: SoakCallerOptions) {}

    /** Sends until `signal` aborts; resolves when the last call has ended. */
    async run(signal: AbortSignal): Promise<void> {
        const pending = new Set<Promise<void>>();
        while (!signal.aborted) {
            const draw = this.options.random();
            const call = this.call(draw < 0.35 ? "once" : draw < 0.7 ? "repeatable" : "stream").finally(() => pending.delete(call));
            pending.add(call);
            await new Promise(resolve => {
                setTimeout(resolve, gapMs * 2 * this.options.random());
            });
        }
        await Promise.all(pending);
        await this.agent.destroy();
    }

    private async call(route: SoakRoute): Promise<void> {
        const { vm, address, nowMs, onCall } = this.options;
        const id = `${vm}-${nextId++}`;
        const call: SoakCall = { id, route, vm, askedMs: nowMs(), endedMs: 0, status: 0, seal: undefined, text: "", error: undefined };
        try {
            const reply = await request(`http://${address}/${route}/x`, {
                dispatcher: this.agent,
                method: "POST",
                headers: { host: "soak.example", "x-attempt-id": id, "x-api-key": "key-1", "x-deadline-ms": String(patienceMs[route]) },
                body: "please",
                headersTimeout: patienceMs[route] + 1_000,
                bodyTimeout: patienceMs[route] + 1_000,
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
