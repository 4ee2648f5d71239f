import type { Scheduler } from "../../src/core/util/Scheduler.js";
import { VirtualScheduler } from "../../src/core/util/VirtualScheduler.js";
import { FakeLogClient } from "./FakeLogClient.js";
import type { FakeLogStream } from "./FakeLogStream.js";

/** In-memory stand-in for the platform's log, with one client per VM so that faults can be injected for each VM separately. */
export class FakeLog {
    readonly streams = new Map<string, FakeLogStream>();
    readonly clients: FakeLogClient[] = [];
    appendCount = 0;
    appendedBytes = 0;
    onLanded: (stream: string, offset: number, payload: Uint8Array) => void = () => undefined;

    constructor(readonly scheduler: Scheduler = new VirtualScheduler()) {}

    client(): FakeLogClient {
        const client = new FakeLogClient(this);
        this.clients.push(client);
        return client;
    }

    stream(name: string): FakeLogStream {
        let stream = this.streams.get(name);
        if (stream === undefined) {
            stream = { first: 0, records: [] };
            this.streams.set(name, stream);
        }
        return stream;
    }

    /** Appends a record immediately, wakes all waiting readers and returns the record's offset. */
    land(name: string, payload: Uint8Array): number {
        const stream = this.stream(name);
        const offset = stream.first + stream.records.length;
        stream.records.push({ offset, payload });
        this.appendCount++;
        this.appendedBytes += payload.length;
        this.onLanded(name, offset, payload);
        for (const client of this.clients) {
            client.wake();
        }
        return offset;
    }

    /** Truncates a stream to its newest `kept` records. */
    forget(name: string, kept: number): void {
        const stream = this.stream(name);
        const dropped = Math.max(0, stream.records.length - kept);
        stream.records = stream.records.slice(dropped);
        stream.first += dropped;
    }
}
