import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { isBodyTooSlow } from "../../core/relay/isBodyTooSlow.js";
import { collectReceivedBuffers } from "../caller/collectReceivedBuffers.js";
import { SlabPool } from "../caller/SlabPool.js";
import type { BodyFailure } from "./BodyFailure.js";

interface RequestBodyOptions {
    readonly maxBytes: number;
    readonly deadlineMs: number;
    readonly nowMs: () => number;
    readonly pool: SlabPool;
    /** Called when the memory of the body has changed by this much, except when it is given up. */
    readonly onChanged: (bytes: number) => void;
}

/** A request body that is being read into memory. */
export class RequestBody {
    private readonly settled = Promise.withResolvers<Result<Buffer, BodyFailure>>();
    private slabs: Buffer[] = [];
    private readonly arrivedMs: number;
    private lastBytesMs: number;
    private receivedBytes = 0;
    private isSettled = false;

    constructor(private readonly incoming: IncomingMessage, private readonly options: RequestBodyOptions) {
        this.arrivedMs = options.nowMs();
        this.lastBytesMs = this.arrivedMs;
        if (Number(incoming.headers["content-length"] ?? 0) > options.maxBytes) {
            this.fail("body_too_large");
            return;
        }
        incoming.on("data", this.onData);
        incoming.once("end", () => {
            this.finish();
        });
        incoming.once("close", () => {
            this.fail("body_incomplete");
        });
    }

    get result(): Promise<Result<Buffer, BodyFailure>> {
        return this.settled.promise;
    }

    get isReceiving(): boolean {
        return !this.isSettled;
    }

    failIfTooSlow(): void {
        const { arrivedMs, lastBytesMs, receivedBytes, options: { deadlineMs, nowMs } } = this;
        if (this.isReceiving && isBodyTooSlow({ arrivedMs, lastBytesMs, deadlineMs, receivedBytes }, nowMs())) {
            this.fail("body_timeout");
        }
    }

    /** Gives the body up, and releases what has arrived of it. */
    fail(failure: BodyFailure): void {
        if (!this.isSettled) {
            this.settle(err(failure));
            this.releaseSlabs();
        }
    }

    private readonly onData = (bytes: Buffer): void => {
        this.lastBytesMs = this.options.nowMs();
        this.receivedBytes += bytes.length;
        if (this.receivedBytes > this.options.maxBytes) {
            this.fail("body_too_large");
            return;
        }
        this.append(bytes);
        collectReceivedBuffers(bytes.length);
    };

    private append(bytes: Buffer): void {
        let copiedBytes = 0;
        while (copiedBytes < bytes.length && this.isReceiving) {
            const offset = (this.receivedBytes - bytes.length + copiedBytes) % SlabPool.slabBytes;
            if (offset === 0) {
                this.slabs.push(this.options.pool.take());
                this.options.onChanged(SlabPool.slabBytes);
            }
            // The charge for the slab may have led to this body being given up.
            copiedBytes += this.slabs.at(-1) === undefined ? bytes.length : bytes.copy(this.slabs.at(-1) as Buffer, offset, copiedBytes);
        }
    }

    /** Moves the body to a buffer of its size, and releases the slabs. */
    private finish(): void {
        if (this.isSettled) {
            return;
        }
        const body = Buffer.concat(this.slabs, this.receivedBytes);
        const slabCount = this.slabs.length;
        this.settle(ok(body));
        this.releaseSlabs();
        this.options.onChanged(body.length - slabCount * SlabPool.slabBytes);
    }

    private releaseSlabs(): void {
        this.options.pool.give(this.slabs);
        this.slabs = [];
    }

    private settle(result: Result<Buffer, BodyFailure>): void {
        if (!this.isSettled) {
            this.isSettled = true;
            this.incoming.off("data", this.onData);
            this.settled.resolve(result);
        }
    }
}
