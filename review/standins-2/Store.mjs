import { once } from "node:events";
import { createServer } from "node:http";

const pollMs = 5;
const maxPageItems = 500;

/**
 * Stand-in of the platform's store with keyed topics. The system's listener refuses writes to the operator's and the workers' topics; the
 * workers write through a listener of their own.
 */
export class Store {
    topics = new Map();
    servers = [];

    /** Starts a listener and returns its address. */
    async listen(host, isWorkers) {
        const server = createServer((request, response) => {
            this.answer(request, response, isWorkers).catch(() => response.destroy());
        });
        server.listen(0, host);
        await once(server, "listening");
        this.servers.push(server);
        return `${host}:${server.address().port}`;
    }

    /** Appends a record and returns its offset; an empty value drops the key. */
    put(topic, key, value) {
        const records = this.recordsOf(topic);
        records.push({ key, value: Buffer.from(value) });
        return records.length - 1;
    }

    recordsOf(topic) {
        if (!this.topics.has(topic)) {
            this.topics.set(topic, []);
        }
        return this.topics.get(topic);
    }

    async answer(request, response, isWorkers) {
        const url = new URL(request.url, "http://store");
        const topic = url.searchParams.get("topic") ?? "";
        const body = [];
        for await (const chunk of request) {
            body.push(chunk);
        }
        if (url.pathname === "/v1/log-append") {
            if (!isWorkers && (topic === "keyed.op" || topic === "keyed.servers")) {
                sendJson(response, 403, {});
                return;
            }
            const bytes = Buffer.concat(body);
            const keyEnd = 5 + bytes[4];
            const offset = this.put(topic, bytes.toString("utf8", 5, keyEnd), bytes.subarray(keyEnd));
            this.onAppend?.(topic, bytes.toString("utf8", 5, keyEnd), bytes.toString("utf8", keyEnd));
            sendJson(response, 200, { offset, end: offset + 1 });
        }
        else if (url.pathname === "/v1/log-newest") {
            this.sendNewest(topic, url.searchParams.get("after") ?? "", response);
        }
        else if (url.pathname === "/v1/log-read") {
            await this.sendRead(topic, url.searchParams, response);
        }
        else {
            sendJson(response, 404, {});
        }
    }

    sendNewest(topic, after, response) {
        const records = this.recordsOf(topic);
        const newest = new Map(records.map(({ key, value }, offset) => [key, { key, value, offset }]));
        const live = [...newest.values()].filter(({ key, value }) => value.length > 0 && key > after).sort((left, right) =>
            left.key < right.key ? -1 : 1
        );
        const items = live.slice(0, maxPageItems).map(({ key, value, offset }) => ({ key, value: value.toString("base64"), offset }));
        sendJson(response, 200, { items, more: live.length > items.length, end: records.length });
    }

    async sendRead(topic, query, response) {
        const from = Number(query.get("from"));
        const records = this.recordsOf(topic);
        for (let waitedMs = 0; waitedMs < Number(query.get("wait_ms") ?? 0) && records.length <= from; waitedMs += pollMs) {
            await new Promise(resolve => setTimeout(resolve, pollMs));
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(records.length), 0);
        response.writeHead(200, { "content-type": "application/octet-stream" });
        response.end(Buffer.concat([head, ...records.slice(from).map(encodeRecord)]));
    }
}

/** A record as it is appended and read: its length, the length of the key, the key and the value. */
export function encodeRecord({ key, value }) {
    const keyBytes = Buffer.from(key);
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + keyBytes.length + value.length, 0);
    head.writeUInt8(keyBytes.length, 4);
    return Buffer.concat([head, keyBytes, Buffer.from(value)]);
}

function sendJson(response, status, value) {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(value));
}
