import type { Scheduler } from "../../src/core/util/Scheduler.js";
import { VirtualScheduler } from "../../src/core/util/VirtualScheduler.js";
import { FakeLogClient } from "./FakeLogClient.js";
import type { FakeLogStream } from "./FakeLogStream.js";

/** The platform's log in memory, with one client for each VM so that faults can differ between VMs. */
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

    /** Lets a record land now; wakes every reader. */
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

    /** Drops all but the newest `kept` records of a stream. */
    forget(name: string, kept: number): void {
        const stream = this.stream(name);
        const dropped = Math.max(0, stream.records.length - kept);
        stream.records = stream.records.slice(dropped);
        stream.first += dropped;
    }
}
