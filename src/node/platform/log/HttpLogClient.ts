import { err, ok, ResultAsync } from "neverthrow";
import type { Result } from "neverthrow";
import { Agent, request } from "undici";
import * as z from "zod";
import type { Scheduler } from "../../../core/util/Scheduler.js";
import type { LogClient } from "../../services/LogClient.js";
import type { LogError } from "../../services/LogError.js";
import type { LogRecord } from "../../services/LogRecord.js";

const AppendResponse = z.object({ offset: z.int() });
const ReadResponse = z.object({ records: z.array(z.object({ offset: z.int(), payload: z.string() })) });
const TruncatedResponse = z.object({ firstOffset: z.int() });

/** Codes of connection errors, which occur only before the request is written, so that nothing can have been appended. */
const notSentCodes = new Set(["ECONNREFUSED", "ENOTFOUND", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

interface HttpLogClientOptions {
    readonly url: string;
    /** Availability zone of this VM, sent with each request. */
    readonly availabilityZone: string;
    readonly scheduler: Scheduler;
    /** Longest wait for the response to an append; 1000 by default. */
    readonly appendTimeoutMs?: number;
    /** Longest wait for the response to a read, in addition to its `waitMs`; 1000 by default. */
    readonly readMarginMs?: number;
}

interface HttpResponse {
    readonly status: number;
    readonly body: unknown;
}

/** Client of the platform's log over HTTP. A call that times out is aborted together with its connection. */
export class HttpLogClient implements LogClient {
    private readonly agent = new Agent({ connections: 64, pipelining: 1, connect: { timeout: 1_000 } });
    private readonly appendTimeoutMs: number;
    private readonly readMarginMs: number;

    constructor(private readonly options: HttpLogClientOptions) {
        this.appendTimeoutMs = options.appendTimeoutMs ?? 1_000;
        this.readMarginMs = options.readMarginMs ?? 1_000;
    }

    /** Closes the connections when `signal` aborts. */
    start(signal: AbortSignal): void {
        signal.addEventListener("abort", () => {
            void this.agent.destroy();
        }, { once: true });
    }

    append(stream: string, payload: Uint8Array, signal: AbortSignal): ResultAsync<number, LogError> {
        return new ResultAsync(this.appendOnce(stream, payload, signal));
    }

    read(stream: string, offset: number, waitMs: number, signal: AbortSignal): ResultAsync<readonly LogRecord[], LogError> {
        return new ResultAsync(this.readOnce(stream, offset, waitMs, signal));
    }

    private async appendOnce(stream: string, payload: Uint8Array, signal: AbortSignal): Promise<Result<number, LogError>> {
        try {
            const response = await this.call("POST", `/streams/${stream}`, payload, this.appendTimeoutMs, signal);
            if (response.status === 200) {
                return ok(AppendResponse.parse(response.body).offset);
            }
            if (response.status >= 400 && response.status < 500) {
                return err(
                    createLogError(
                        "not-appended",
                        `the log rejected the append with status ${response.status}; reduce the append rate or check the log URL`,
                    ),
                );
            }
            return err(
                createLogError(
                    "unknown",
                    `the log answered the append with status ${response.status}; read the stream to find out whether the record was appended`,
                ),
            );
        }
        catch (error) {
            return notSentCodes.has(getErrorCode(error))
                ? err(createLogError("not-appended", "cannot connect to the log; check the platform's log service and the log URL"))
                : err(
                    createLogError(
                        "unknown",
                        "no valid response from the log to the append; read the stream to find out whether the record was appended",
                    ),
                );
        }
    }

    private async readOnce(
        stream: string,
        offset: number,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<Result<readonly LogRecord[], LogError>> {
        try {
            const path = `/streams/${stream}?offset=${offset}&waitMs=${waitMs}`;
            const response = await this.call("GET", path, undefined, waitMs + this.readMarginMs, signal);
            if (response.status === 410) {
                const { firstOffset } = TruncatedResponse.parse(response.body);
                return err({
                    kind: "forgotten",
                    firstOffset,
                    message: `the log retains ${stream} only from offset ${firstOffset} on; load a snapshot`,
                });
            }
            if (response.status !== 200) {
                return err(
                    createLogError(
                        "unavailable",
                        `the log answered the read with status ${response.status}; check the platform's log service`,
                    ),
                );
            }
            return ok(ReadResponse.parse(response.body).records.map(decodeRecord));
        }
        catch {
            return err(createLogError("unavailable", "no valid response from the log to the read; check the platform's log service"));
        }
    }

    private async call(
        method: "GET" | "POST",
        path: string,
        body: Uint8Array | undefined,
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<HttpResponse> {
        const timeout = new AbortController();
        const finished = new AbortController();
        this.options.scheduler.after(timeoutMs, () => {
            timeout.abort();
        }, finished.signal);
        try {
            const response = await request(this.options.url + path, {
                method,
                body,
                headers: { "x-availability-zone": this.options.availabilityZone },
                dispatcher: this.agent,
                signal: AbortSignal.any([timeout.signal, signal]),
            });
            return { status: response.statusCode, body: await response.body.json() };
        }
        finally {
            finished.abort();
        }
    }
}

function decodeRecord(record: { offset: number; payload: string; }): LogRecord {
    return { offset: record.offset, payload: Buffer.from(record.payload, "base64") };
}

function getErrorCode(error: unknown): string {
    return error instanceof Object && "code" in error ? String(error.code) : "";
}

function createLogError(kind: LogError["kind"], message: string): LogError {
    return { kind, firstOffset: undefined, message };
}
