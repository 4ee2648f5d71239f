import type { IncomingMessage, ServerResponse } from "node:http";
import { VmList } from "../../src/schema/platform/VmList.js";
import { delay } from "../shared/delay.js";
import { readBody } from "../shared/readBody.js";
import { sendJson } from "../shared/sendJson.js";
import { StandinServer } from "../shared/StandinServer.js";

type ListedVm = VmList["vms"][number];

/**
 * The platform's VM list: `GET /vms` returns the list as it was `lagMs` ago. `POST /_standin/list` replaces the list over HTTP; the
 * methods change it from the same process.
 */
export class VmListStandin {
    private readonly server = new StandinServer((request, response) => this.handle(request, response));
    private readonly vms = new Map<string, ListedVm>();
    private readonly upstreams = new Map<string, boolean>();
    private readonly history: { readonly sinceMs: number; readonly list: VmList; }[] = [];

    constructor(private readonly lagMs = 0, private readonly nowMs: () => number = () => performance.now()) {
        this.recordSnapshot();
    }

    /** Listens on loopback until `signal` aborts; resolves with the base URL. */
    start(signal: AbortSignal, port = 0): Promise<string> {
        return this.server.start(signal, port);
    }

    setVm(vm: ListedVm): void {
        this.vms.set(vm.vm, vm);
        this.recordSnapshot();
    }

    removeVm(vm: string): void {
        this.vms.delete(vm);
        this.recordSnapshot();
    }

    setUpstream(id: string, leaving: boolean): void {
        this.upstreams.set(id, leaving);
        this.recordSnapshot();
    }

    private recordSnapshot(): void {
        const upstreams = [...this.upstreams].map(([id, leaving]) => ({ id, leaving }));
        this.history.push({ sinceMs: this.nowMs(), list: { vms: [...this.vms.values()], upstreams } });
        while (this.history.length > 2 && (this.history[1]?.sinceMs ?? Infinity) <= this.nowMs() - this.lagMs) {
            this.history.shift();
        }
    }

    private visibleList(): VmList {
        const asOfMs = this.nowMs() - this.lagMs;
        const entry = this.history.findLast(candidate => candidate.sinceMs <= asOfMs) ?? this.history[0];
        return entry?.list ?? { vms: [], upstreams: [] };
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (this.server.faults.peek("silent") !== undefined) {
            return;
        }
        const slow = this.server.faults.consume("slow");
        if (slow !== undefined) {
            await delay(slow.delayMs);
        }
        if (request.method === "GET" && request.url === "/vms") {
            sendJson(response, 200, this.visibleList());
        }
        else if (request.method === "POST" && request.url === "/_standin/list") {
            await this.replaceList(request, response);
        }
        else {
            sendJson(response, 404, { error: "try GET /vms" });
        }
    }

    private async replaceList(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const parsed = VmList.safeParse(JSON.parse((await readBody(request)).toString("utf8")));
        if (!parsed.success) {
            sendJson(response, 400, { error: parsed.error.issues[0]?.message });
            return;
        }
        this.vms.clear();
        this.upstreams.clear();
        for (const vm of parsed.data.vms) {
            this.vms.set(vm.vm, vm);
        }
        for (const upstream of parsed.data.upstreams) {
            this.upstreams.set(upstream.id, upstream.leaving);
        }
        this.recordSnapshot();
        sendJson(response, 200, { ok: true });
    }
}
