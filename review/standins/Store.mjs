import { createServer } from "node:http";

const offsetBytes = 8;
const lengthBytes = 4;
const pollMs = 5;

/** The platform's store as far as a router VM uses it: keyed topics with append, read with a wait, and the newest record of each key. */
export class Store {
    #topics = new Map();
    #server = createServer((request, response) => void this.#answer(request, response));

    /** Listens on a free port of this address; resolves with `HOST:PORT`. */
    start(host) {
        return new Promise(resolve => {
            this.#server.listen(0, host, () => {
                resolve(`${host}:${this.#server.address().port}`);
            });
        });
    }

    /** Appends a record, which is confirmed when this returns. Without a value, the key is dropped. */
    put(topic, key, value = "") {
        this.#records(topic).push({ key, value: Buffer.from(value) });
    }

    #records(topic) {
        if (!this.#topics.has(topic)) {
            this.#topics.set(topic, []);
        }
        return this.#topics.get(topic);
    }

    async #answer(request, response) {
        const url = new URL(request.url, "http://store");
        const topic = url.searchParams.get("topic") ?? "";
        switch (url.pathname) {
            case "/v1/log-append":
                await this.#append(topic, request, response);
                return;
            case "/v1/log-newest":
                this.#sendNewest(topic, response);
                return;
            case "/v1/log-read":
                await this.#sendChanges(topic, url.searchParams, response);
                return;
            default:
                response.writeHead(404).end("{}");
        }
    }

    async #append(topic, request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const body = Buffer.concat(chunks);
        const keyEnd = lengthBytes + 1 + body[lengthBytes];
        this.#records(topic).push({ key: body.toString("utf8", lengthBytes + 1, keyEnd), value: body.subarray(keyEnd) });
        const end = this.#records(topic).length;
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify({ offset: end - 1, end }));
    }

    #sendNewest(topic, response) {
        const records = this.#records(topic);
        const newest = new Map(records.map(({ key, value }, offset) => [key, { key, value, offset }]));
        const items = [...newest.values()].filter(({ value }) => value.length > 0)
            .map(({ key, value, offset }) => ({ key, value: value.toString("base64"), offset }));
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify({ items, more: false, end: records.length }));
    }

    async #sendChanges(topic, query, response) {
        const records = this.#records(topic);
        const from = Number(query.get("from"));
        const endMs = performance.now() + Number(query.get("wait_ms") ?? 0);
        while (records.length <= from && performance.now() < endMs) {
            await new Promise(resolve => setTimeout(resolve, pollMs));
        }
        const head = Buffer.alloc(2 * offsetBytes);
        head.writeBigUInt64BE(BigInt(records.length), 0);
        response.writeHead(200, { "content-type": "application/octet-stream" });
        response.end(Buffer.concat([head, ...records.slice(from).map(record => encodeRecord(record))]));
    }
}

function encodeRecord({ key, value }) {
    const head = Buffer.alloc(lengthBytes + 1);
    head.writeUInt32BE(1 + Buffer.byteLength(key) + value.length, 0);
    head.writeUInt8(Buffer.byteLength(key), lengthBytes);
    return Buffer.concat([head, Buffer.from(key), value]);
}
