import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { callerLoadLimits as limits } from "../../core/relay/callerLoadLimits.js";
import type { CallerMemoryBudget } from "../caller/CallerMemoryBudget.js";
import { collectExcessRequests } from "../caller/collectExcessRequests.js";
import type { MemoryHolder } from "../caller/MemoryHolder.js";
import type { RequestBody } from "./RequestBody.js";

interface OpenRequest {
    headBytes: number;
    body: RequestBody | undefined;
    /** What is charged for the body. */
    bodyBytes: number;
    isDenied: boolean;
}

/** A caller's connection: what it makes this VM hold, all of which is charged to the budget here. */
export class CallerConnection implements MemoryHolder {
    private readonly requests = new Map<ServerResponse, OpenRequest>();
    /** The only request whose body can be arriving. */
    private last: OpenRequest | undefined;
    private headBytes = 0;
    private unreadBytes = 0;
    private lastSentBytes = 0;
    private lastReadMs = 0;
    private hasAnswered = false;
    private isPaused = false;

    constructor(
        private readonly socket: Socket,
        private readonly budget: CallerMemoryBudget,
        private readonly onEvicted: (reason: string) => void,
    ) {
        budget.add(this);
        socket.once("close", () => {
            this.setUnread(0);
            this.closeResponses();
            this.removeIfUnused();
        });
    }

    get isReceiving(): boolean {
        return this.findEvictableBody() !== undefined;
    }

    get isDenied(): boolean {
        return this.findEvictableBody()?.isDenied === true;
    }

    get evictableBytes(): number {
        const receiving = this.findEvictableBody();
        return receiving === undefined ? this.closableBytes : receiving.headBytes + receiving.bodyBytes;
    }

    /**
     * What closing the connection would release. None while its calls are running and all is read: their callers keep within the limits, and
     * would lose responses.
     */
    private get closableBytes(): number {
        const isClosable = this.unreadBytes > 0 || this.requests.size > limits.maxWaitingRequests;
        return isClosable && !this.socket.destroyed ? this.headBytes + this.unreadBytes : 0;
    }

    /** Which connection is closed first when there are too many; undefined keeps it. */
    get closingRank(): number | undefined {
        if (this.requests.size === 0) {
            return this.hasAnswered ? 2 : 0;
        }
        if (this.findReceiving() !== undefined) {
            return 1;
        }
        return this.unreadBytes > 0 ? 3 : undefined;
    }

    /** Charges a new request; returns whether there is room for it. */
    begin(response: ServerResponse, fieldCount: number): boolean {
        const headBytes = limits.requestBytes + fieldCount * limits.fieldBytes;
        this.last = { headBytes, body: undefined, bodyBytes: 0, isDenied: false };
        this.requests.set(response, this.last);
        this.headBytes += headBytes;
        this.budget.charge(headBytes);
        if (this.socket.destroyed) {
            return false;
        }
        if (this.requests.size > limits.maxWaitingRequests) {
            collectExcessRequests();
        }
        if (this.requests.size > limits.maxParsedRequests) {
            this.close("too_many_waiting_requests");
            return false;
        }
        if (this.requests.size > limits.maxWaitingRequests) {
            // The parser goes on with the bytes that it has; after that, no more are read.
            process.nextTick(() => {
                this.isPaused = this.requests.size > limits.maxWaitingRequests;
                if (this.isPaused) {
                    this.socket.pause();
                }
            });
        }
        return this.budget.usedBytes <= this.budget.limitBytes;
    }

    /** `isDenied`: the call would be denied by the present configuration; its body is evicted before others. */
    setBody(response: ServerResponse, body: RequestBody, isDenied = false): void {
        const request = this.requests.get(response);
        if (request !== undefined) {
            request.body = body;
            request.isDenied = isDenied;
        }
    }

    changeBody(response: ServerResponse, bytes: number): void {
        const request = this.requests.get(response);
        if (request !== undefined) {
            request.bodyBytes += bytes;
            if (bytes > 0) {
                this.budget.charge(bytes);
            }
            else {
                this.budget.release(-bytes);
            }
        }
    }

    /** Releases what is charged for a body that is not kept. */
    releaseBody(response: ServerResponse): void {
        const request = this.requests.get(response);
        if (request !== undefined) {
            this.budget.release(request.bodyBytes);
            request.bodyBytes = 0;
        }
    }

    /** Releases a request whose response has been written or cut and whose call has ended. */
    end(response: ServerResponse): void {
        const request = this.requests.get(response);
        if (request === undefined) {
            return;
        }
        this.requests.delete(response);
        this.headBytes -= request.headBytes;
        this.budget.release(request.headBytes + request.bodyBytes);
        this.hasAnswered = true;
        if (this.isPaused && this.requests.size <= limits.maxWaitingRequests) {
            this.isPaused = false;
            this.socket.resume();
        }
        this.removeIfUnused();
    }

    /** Charges what the caller has not read, and ends bodies and responses that make no progress. */
    check(nowMs: number): void {
        let unreadBytes = 0;
        let beingSentBytes = 0;
        for (const [response, { body }] of this.requests) {
            unreadBytes += response.writableLength;
            // Others wait for their turn on the connection, which the caller does not hold up.
            beingSentBytes += response.socket ? response.writableLength : 0;
            body?.failIfTooSlow();
        }
        // Handed to the kernel: grows only when the kernel has made room, in steps of up to its buffers.
        const sentBytes = this.socket.bytesWritten - this.socket.writableLength;
        if (beingSentBytes === 0 || sentBytes !== this.lastSentBytes) {
            this.lastReadMs = nowMs;
        }
        this.lastSentBytes = sentBytes;
        this.setUnread(this.socket.destroyed ? 0 : unreadBytes);
        if (nowMs - this.lastReadMs > limits.unreadIdleMs) {
            this.onEvicted("unread_response");
            this.socket.destroy();
        }
    }

    evict(): void {
        const receiving = this.findEvictableBody();
        if (receiving !== undefined) {
            this.budget.release(receiving.headBytes + receiving.bodyBytes);
            this.headBytes -= receiving.headBytes;
            receiving.headBytes = 0;
            receiving.bodyBytes = 0;
            receiving.body?.fail("overloaded");
            return;
        }
        this.close("memory");
    }

    private close(reason: string): void {
        this.onEvicted(reason);
        this.socket.resetAndDestroy();
        // The socket emits `close` only after all other sockets have been read, each of which may hold as much.
        process.nextTick(() => {
            this.closeResponses();
        });
        // Node.js would go on parsing what it has read, and keep the requests until the end of this turn of the event loop.
        (this.socket as Socket & { readonly parser?: { pause(): void; }; }).parser?.pause();
        for (const request of this.requests.values()) {
            request.headBytes = 0;
        }
        this.budget.release(this.headBytes);
        this.headBytes = 0;
        this.setUnread(0);
    }

    /** Ends the requests of a connection that is gone. Node.js emits no `close` on responses that wait for their turn on it. */
    private closeResponses(): void {
        for (const response of this.requests.keys()) {
            if (!response.closed) {
                response.destroy();
                response.emit("close");
                response.req.destroy();
            }
        }
    }

    private findReceiving(): OpenRequest | undefined {
        return this.last?.body?.isReceiving === true ? this.last : undefined;
    }

    /** The unfinished body, unless closing the connection would release more. */
    private findEvictableBody(): OpenRequest | undefined {
        const receiving = this.findReceiving();
        return receiving !== undefined && receiving.headBytes + receiving.bodyBytes >= this.closableBytes ? receiving : undefined;
    }

    private setUnread(bytes: number): void {
        const grownBytes = bytes - this.unreadBytes;
        this.unreadBytes = bytes;
        if (grownBytes > 0) {
            this.budget.charge(grownBytes);
        }
        else {
            this.budget.release(-grownBytes);
        }
    }

    private removeIfUnused(): void {
        if (this.socket.destroyed && this.requests.size === 0) {
            this.budget.remove(this);
        }
    }
}
