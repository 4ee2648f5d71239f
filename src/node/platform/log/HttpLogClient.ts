import { err, ok, ResultAsync } from "neverthrow";
import type { Result } from "neverthrow";
import { Agent, request } from "undici";
import * as z from "zod";
import type { Scheduler } from "../../../core/util/Scheduler.js";
import type { LogClient } from "../../services/LogClient.js";
import type { LogError } from "../../services/LogError.js";
import type { LogRecord } from "../../services/LogRecord.js";

const AppendReply = z.object({ offset: z.int() });
const ReadReply = z.object({ records: z.array(z.object({ offset: z.int(), payload: z.string() })) });
const ForgottenReply = z.object({ firstOffset: z.int() });

/** Errors of undici that can only come before the request was written. */
const notSentCodes = new Set(["ECONNREFUSED", "ENOTFOUND", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

interface HttpLogClientOptions {
    readonly url: string;
    /** Availability zone of this VM, which the log is told. */
    readonly availabilityZone: string;
    readonly scheduler: Scheduler;
    /** Longest wait for the answer to an append. */
    readonly appendTimeoutMs?: number;
    /** Longest wait for the answer to a read, beyond the time the read was asked to wait. */
    readonly readMarginMs?: number;
}

interface HttpReply {
    readonly status: number;
    readonly body: unknown;
}

/** The platform's log over HTTP. A call that gets no answer in time is cut off together with its connection. */
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
            const reply = await this.call("POST", `/streams/${stream}`, payload, this.appendTimeoutMs, signal);
            if (reply.status === 200) {
                return ok(AppendReply.parse(reply.body).offset);
            }
            if (reply.status >= 400 && reply.status < 500) {
                return err(logError("not-appended", `the log refused the append with status ${reply.status}; append less often`));
            }
            return err(logError("unknown", `the log answered ${reply.status}; read the stream to find out whether the append landed`));
        }
        catch (error) {
            return notSentCodes.has(errorCode(error))
                ? err(logError("not-appended", "the log accepts no connection; check the platform's log service and the log URL"))
                : err(logError("unknown", "the log gave no answer; read the stream to find out whether the append landed"));
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
            const reply = await this.call("GET", path, undefined, waitMs + this.readMarginMs, signal);
            if (reply.status === 410) {
                const { firstOffset } = ForgottenReply.parse(reply.body);
                return err({
                    kind: "forgotten",
                    firstOffset,
                    message: `the log holds ${stream} from offset ${firstOffset} on; load a snapshot`,
                });
            }
            if (reply.status !== 200) {
                return err(
                    logError("unavailable", `the log answered a read with status ${reply.status}; check the platform's log service`),
                );
            }
            return ok(ReadReply.parse(reply.body).records.map(decodeRecord));
        }
        catch {
            return err(logError("unavailable", "the log gave no answer to a read; check the platform's log service"));
        }
    }

    private async call(
        method: "GET" | "POST",
        path: string,
        body: Uint8Array | undefined,
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<HttpReply> {
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

function errorCode(error: unknown): string {
    return error instanceof Object && "code" in error ? String(error.code) : "";
}

function logError(kind: LogError["kind"], message: string): LogError {
    return { kind, firstOffset: undefined, message };
}
