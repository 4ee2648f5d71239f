import type { IncomingMessage, ServerResponse } from "node:http";
import { delay } from "../shared/delay.js";
import { readBody } from "../shared/readBody.js";
import { sendJson } from "../shared/sendJson.js";
import { StandinServer } from "../shared/StandinServer.js";

interface StoredRecord {
    readonly offset: number;
    readonly key: string;
    readonly value: Buffer;
}

const lengthPrefixBytes = 4;
const pollMs = 5;

/**
 * Simulates the keyed topics of the platform's store, following its documentation: append, long-poll read, and the newest record
 * of each key. An append with the query `at` is refused with 412 unless the topic ends there. Faults: `down`, `refuse` (503), `silent`, and
 * for appends `lose-answer` and `land-late`. `takeCopy` and `restore` play a return from an older copy.
 */
export class StoreStandin {
    readonly server = new StandinServer((request, response) => this.answer(request, response));
    /** Number of returns from a copy; sent with all replies unless undefined. */
    era: number | undefined;
    private topics = new Map<string, StoredRecord[]>();
    private readonly firstOffsets = new Map<string, number>();

    /** Appends a record directly, like an operator or an upstream; an empty value deletes the key. */
    put(topic: string, key: string, value: string): void {
        const records = this.recordsOf(topic);
        records.push({ offset: records.length, key, value: Buffer.from(value) });
    }

    /** Newest value of a key; undefined if there is none. */
    getNewest(topic: string, key: string): string | undefined {
        return this.topics.get(topic)?.findLast(record => record.key === key)?.value.toString();
    }

    /** Truncates a topic: reads from earlier offsets get status 410; `log-newest` still returns the newest record of each key. */
    forget(topic: string): void {
        this.firstOffsets.set(topic, this.recordsOf(topic).length);
    }

    /** Returns what the store holds, for a later return to it. */
    takeCopy(): ReadonlyMap<string, readonly StoredRecord[]> {
        return new Map([...this.topics].map(([topic, records]) => [topic, [...records]]));
    }

    /** Comes back from a copy: later records are gone, and their offsets are given out again. */
    restore(copy: ReadonlyMap<string, readonly StoredRecord[]>): void {
        this.topics = new Map([...copy].map(([topic, records]) => [topic, [...records]]));
        for (const [topic, firstOffset] of this.firstOffsets) {
            this.firstOffsets.set(topic, Math.min(firstOffset, this.recordsOf(topic).length));
        }
        this.era = (this.era ?? 0) + 1;
    }

    private recordsOf(topic: string): StoredRecord[] {
        let records = this.topics.get(topic);
        if (records === undefined) {
            records = [];
            this.topics.set(topic, records);
        }
        return records;
    }

    private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { faults } = this.server;
        const url = new URL(request.url ?? "/", "http://store");
        if (this.era !== undefined) {
            response.setHeader("store-era", String(this.era));
        }
        if (faults.consume("silent") !== undefined) {
            return;
        }
        if (faults.consume("refuse") !== undefined) {
            sendJson(response, 503, {});
            return;
        }
        const topic = url.searchParams.get("topic") ?? "";
        switch (url.pathname) {
            case "/v1/log-append":
                await this.append(topic, url.searchParams.get("at") ?? undefined, request, response);
                return;
            case "/v1/log-newest":
                this.sendNewest(topic, response);
                return;
            case "/v1/log-read":
                await this.sendRead(topic, url.searchParams, request, response);
                return;
            default:
                sendJson(response, 404, {});
        }
    }

    private async append(topic: string, at: string | undefined, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBody(request);
        const late = this.server.faults.consume("land-late");
        if (late !== undefined) {
            request.socket.destroy();
            await delay(late.delayMs);
        }
        const end = this.recordsOf(topic).length;
        if (at !== undefined && Number(at) !== end) {
            sendJson(response, 412, { end });
            return;
        }
        for (let position = 0; position < body.length;) {
            const recordEnd = position + lengthPrefixBytes + body.readUInt32BE(position);
            const keyStart = position + lengthPrefixBytes + 1;
            const keyEnd = keyStart + (body[keyStart - 1] ?? 0);
            this.put(topic, body.toString("utf8", keyStart, keyEnd), body.toString("utf8", keyEnd, recordEnd));
            position = recordEnd;
        }
        if (this.server.faults.consume("lose-answer") !== undefined) {
            request.socket.destroy();
            return;
        }
        sendJson(response, 200, { offset: end, end: this.recordsOf(topic).length });
    }

    private sendNewest(topic: string, response: ServerResponse): void {
        if (!this.topics.has(topic)) {
            sendJson(response, 404, {});
            return;
        }
        const newest = new Map(this.recordsOf(topic).map(record => [record.key, record]));
        const items = [...newest.values()].filter(record => record.value.length > 0)
            .map(({ key, value, offset }) => ({ key, value: value.toString("base64"), offset }));
        sendJson(response, 200, { items, more: false, end: this.recordsOf(topic).length });
    }

    private async sendRead(topic: string, query: URLSearchParams, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const from = Number(query.get("from"));
        const first = this.firstOffsets.get(topic) ?? 0;
        if (from < first || from > this.recordsOf(topic).length) {
            sendJson(response, 410, { first });
            return;
        }
        const { era } = this;
        for (let waitedMs = 0; waitedMs < Number(query.get("wait_ms") ?? 0) && this.recordsOf(topic).length <= from; waitedMs += pollMs) {
            await delay(pollMs);
        }
        if (this.era !== era) {
            request.socket.destroy();
            return;
        }
        const records = this.recordsOf(topic);
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(records.length), 0);
        head.writeBigUInt64BE(BigInt(first), 8);
        response.writeHead(200, { "content-type": "application/octet-stream" });
        response.end(Buffer.concat([head, ...records.slice(from).map(record => encode(record))]));
    }
}

function encode({ key, value }: StoredRecord): Buffer {
    const keyBytes = Buffer.from(key);
    const head = Buffer.alloc(lengthPrefixBytes + 1);
    head.writeUInt32BE(1 + keyBytes.length + value.length, 0);
    head.writeUInt8(keyBytes.length, lengthPrefixBytes);
    return Buffer.concat([head, keyBytes, value]);
}
