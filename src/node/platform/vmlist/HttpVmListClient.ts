import { ResultAsync } from "neverthrow";
import { Agent, request } from "undici";
import { VmList } from "../../../schema/platform/VmList.js";
import type { VmListClient } from "./VmListClient.js";
import type { VmListError } from "./VmListError.js";

const maxBodyBytes = 4 * 1024 * 1024;

/** Reads the VM list over HTTP. A call that gets no answer in time is given up with its connection, so that the next opens a new one. */
export class HttpVmListClient implements VmListClient {
    private dispatcher: Agent;

    constructor(private readonly url: string, private readonly timeoutMs = 1000) {
        this.dispatcher = this.newDispatcher();
    }

    fetch(signal: AbortSignal): ResultAsync<VmList, VmListError> {
        return ResultAsync.fromPromise(this.read(signal), error => this.toError(error));
    }

    private async read(signal: AbortSignal): Promise<VmList> {
        const dispatcher = this.dispatcher;
        try {
            const deadline = AbortSignal.any([signal, AbortSignal.timeout(this.timeoutMs)]);
            const response = await request(new URL("/vms", this.url), { dispatcher, signal: deadline });
            if (response.statusCode !== 200) {
                await response.body.dump();
                throw new BadAnswer(`status ${response.statusCode}`);
            }
            return parseList(await response.body.text());
        }
        catch (error) {
            this.replaceDispatcher(dispatcher);
            throw error;
        }
    }

    /** Drops connections that may have gone silent. */
    private replaceDispatcher(failed: Agent): void {
        if (this.dispatcher === failed) {
            this.dispatcher = this.newDispatcher();
            failed.destroy().catch(() => undefined);
        }
    }

    private newDispatcher(): Agent {
        return new Agent({
            connect: { timeout: this.timeoutMs },
            headersTimeout: this.timeoutMs,
            bodyTimeout: this.timeoutMs,
            maxResponseSize: maxBodyBytes,
            connections: 1,
        });
    }

    private toError(error: unknown): VmListError {
        if (error instanceof BadAnswer) {
            return { kind: "bad-answer", message: `the VM list at ${this.url} answered ${error.message}; check platform.vmList.url` };
        }
        const kind = error instanceof Error && /timeout/i.test(`${error.name} ${error.message}`) ? "timeout" : "unreachable";
        return { kind, message: `the VM list at ${this.url} cannot be read (${String(error)}); members known so far stay in use` };
    }
}

class BadAnswer extends Error {}

function parseList(text: string): VmList {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        throw new BadAnswer("something that is not JSON");
    }
    const parsed = VmList.safeParse(value);
    if (!parsed.success) {
        throw new BadAnswer(`a list that does not fit the schema (${parsed.error.issues[0]?.message ?? ""})`);
    }
    return parsed.data;
}
