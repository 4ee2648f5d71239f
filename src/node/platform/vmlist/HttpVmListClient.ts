import { ResultAsync } from "neverthrow";
import { Agent, request } from "undici";
import { VmList } from "../../../schema/platform/VmList.js";
import type { VmListClient } from "./VmListClient.js";
import type { VmListError } from "./VmListError.js";

const maxBodyBytes = 4 * 1024 * 1024;

/** Reads the VM list over HTTP. After a failed call its connection is discarded, so that the next call opens a new one. */
export class HttpVmListClient implements VmListClient {
    private agent: Agent;

    constructor(private readonly url: string, private readonly timeoutMs = 1000) {
        this.agent = this.createAgent();
    }

    fetch(signal: AbortSignal): ResultAsync<VmList, VmListError> {
        return ResultAsync.fromPromise(this.fetchList(signal), error => this.toVmListError(error));
    }

    private async fetchList(signal: AbortSignal): Promise<VmList> {
        const dispatcher = this.agent;
        try {
            const deadline = AbortSignal.any([signal, AbortSignal.timeout(this.timeoutMs)]);
            const response = await request(new URL("/vms", this.url), { dispatcher, signal: deadline });
            if (response.statusCode !== 200) {
                await response.body.dump();
                throw new InvalidResponseError(`status ${response.statusCode}`);
            }
            return parseVmList(await response.body.text());
        }
        catch (error) {
            this.replaceAgent(dispatcher);
            throw error;
        }
    }

    /** Discards connections that may no longer respond. */
    private replaceAgent(failed: Agent): void {
        if (this.agent === failed) {
            this.agent = this.createAgent();
            failed.destroy().catch(() => undefined);
        }
    }

    private createAgent(): Agent {
        return new Agent({
            connect: { timeout: this.timeoutMs },
            headersTimeout: this.timeoutMs,
            bodyTimeout: this.timeoutMs,
            maxResponseSize: maxBodyBytes,
            connections: 1,
        });
    }

    private toVmListError(error: unknown): VmListError {
        if (error instanceof InvalidResponseError) {
            return {
                kind: "bad-answer",
                message: `invalid response from the VM list at ${this.url}: ${error.message}; check platform.vmList.url`,
            };
        }
        const kind = error instanceof Error && /timeout/i.test(`${error.name} ${error.message}`) ? "timeout" : "unreachable";
        return { kind, message: `cannot read the VM list at ${this.url} (${String(error)}); the last list that was read stays in use` };
    }
}

class InvalidResponseError extends Error {}

function parseVmList(text: string): VmList {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        throw new InvalidResponseError("the body is not JSON");
    }
    const parsed = VmList.safeParse(value);
    if (!parsed.success) {
        throw new InvalidResponseError(`the list does not match the schema (${parsed.error.issues[0]?.message ?? ""})`);
    }
    return parsed.data;
}
