// The platform's store: keyed topics of the log (append, long-poll read, newest record of each key).
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

export class Store {
    topics = new Map();
    server = createServer((request, response) => {
        void this.answer(request, response);
    });

    listen() {
        return new Promise(resolve => this.server.listen(0, "127.0.0.1", () => resolve(this.server.address().port)));
    }

    records(topic) {
        if (!this.topics.has(topic)) {
            this.topics.set(topic, []);
        }
        return this.topics.get(topic);
    }

    put(topic, key, value) {
        this.records(topic).push({ key, value: Buffer.from(typeof value === "string" ? value : JSON.stringify(value)) });
    }

    async answer(request, response) {
        const url = new URL(request.url, "http://store");
        const topic = url.searchParams.get("topic") ?? "";
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const body = Buffer.concat(chunks);
        if (url.pathname === "/v1/log-append") {
            const records = this.records(topic);
            const at = url.searchParams.get("at");
            if (at !== null && Number(at) !== records.length) {
                return json(response, 412, { end: records.length });
            }
            const offset = records.length;
            for (let position = 0; position < body.length;) {
                const end = position + 4 + body.readUInt32BE(position);
                const keyEnd = position + 5 + body[position + 4];
                records.push({ key: body.toString("utf8", position + 5, keyEnd), value: Buffer.from(body.subarray(keyEnd, end)) });
                position = end;
            }
            return json(response, 200, { offset, end: records.length });
        }
        if (url.pathname === "/v1/log-newest") {
            if (!this.topics.has(topic)) {
                return json(response, 404, {});
            }
            const newest = new Map();
            this.records(topic).forEach((record, offset) => newest.set(record.key, { ...record, offset }));
            const items = [...newest.values()].filter(({ value }) => value.length > 0)
                .map(({ key, value, offset }) => ({ key, value: value.toString("base64"), offset }));
            return json(response, 200, { items, more: false, end: this.records(topic).length });
        }
        if (url.pathname === "/v1/log-read") {
            const from = Number(url.searchParams.get("from"));
            const waitMs = Number(url.searchParams.get("wait_ms") ?? 0);
            for (let waited = 0; waited < waitMs && this.records(topic).length <= from; waited += 10) {
                await sleep(10);
            }
            const records = this.records(topic);
            if (from > records.length) {
                return json(response, 410, { first: 0 });
            }
            const head = Buffer.alloc(16);
            head.writeBigUInt64BE(BigInt(records.length), 0);
            response.writeHead(200, { "content-type": "application/octet-stream" });
            response.end(Buffer.concat([head, ...records.slice(from).map(encode)]));
            return undefined;
        }
        return json(response, 404, {});
    }
}

function encode({ key, value }) {
    const keyBytes = Buffer.from(key);
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + keyBytes.length + value.length, 0);
    head.writeUInt8(keyBytes.length, 4);
    return Buffer.concat([head, keyBytes, value]);
}

function json(response, status, value) {
    const text = JSON.stringify(value);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}
