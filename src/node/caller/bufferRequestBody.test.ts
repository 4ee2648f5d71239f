import { expect } from "earl";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { isCollected } from "../upstream/testing/isCollected.js";
import { bufferRequestBody } from "./bufferRequestBody.js";

const createRequest = () => Object.assign(new PassThrough(), { headers: {} });

test("a request body in small parts does not keep the buffers in which they arrived", async () => {
    const request = createRequest();
    const body = bufferRequestBody(request as unknown as IncomingMessage, 100);
    const receive = async () => {
        const arrived = Buffer.alloc(64 * 1024, "a");
        request.write(arrived.subarray(8_000, 8_001));
        await new Promise(resolve => setImmediate(resolve));
        return new WeakRef(arrived.buffer);
    };
    const first = await receive();
    await receive();
    expect(await isCollected(first)).toEqual(true);
    request.end("b");
    expect(String((await body).unwrapOr(Buffer.alloc(0)))).toEqual("aab");
});

test("a request body over the limit is refused", async () => {
    const request = createRequest();
    const body = bufferRequestBody(request as unknown as IncomingMessage, 2);
    request.end("abc");
    expect((await body).match(() => undefined, error => error.status)).toEqual(413);
});
