import { expect } from "earl";
import { test } from "node:test";
import { until } from "../../../proof/fakes/until.js";
import { createSeededRandom } from "../../core/util/createSeededRandom.js";
import { WebSocketPeerLinks } from "../peer/WebSocketPeerLinks.js";
import { SystemScheduler } from "../timers/SystemScheduler.js";
import { relayLinkLimits } from "./relayLinkLimits.js";

const stop = new AbortController();

async function startLinks(vm: string) {
    const links = new WebSocketPeerLinks({
        self: { vm, incarnation: "1" },
        listenHost: "127.0.0.1",
        listenPort: 0,
        sharedKey: "shared",
        scheduler: new SystemScheduler(),
        limits: relayLinkLimits,
    });
    return { links, port: (await links.start(stop.signal))._unsafeUnwrap() };
}

/** A configuration of 48 routes with random names, encoded as JSON. */
function buildConfiguration(): Uint8Array {
    const random = createSeededRandom(1);
    const name = () => Math.floor(random() * 36 ** 6).toString(36);
    const routes = Array.from({ length: 48 }, () => ({
        name: name(),
        host: `${name()}.example`,
        path_prefix: `/${name()}/`,
        kind: "streaming",
        timeout_ms: 5_000,
        target_latency_ms: 600,
        max_attempts: 1,
        traffic_split: [{ service: "engines", weight: 1 }],
    }));
    return Buffer.from(JSON.stringify({ version: 8, routes }));
}

test(
    "a configuration that is sent to every VM is compressed, so that it does not fill the sender's link",
    { timeout: 20_000 },
    async () => {
        const [left, right] = [await startLinks("vm-1"), await startLinks("vm-2")];
        const received: Uint8Array[] = [];
        right.links.onMessage("keyedRecords", (...[, { records }]) => {
            received.push(...records.flatMap(record => record.value ?? []));
            return undefined;
        }, stop.signal);
        left.links.setAddress("vm-2", `ws://127.0.0.1:${right.port}/peer`);
        const value = buildConfiguration();
        const message = {
            type: "keyedRecords" as const,
            stream: "config",
            epoch: 0,
            isWhole: false,
            fromOffset: 0,
            nextOffset: 1,
            records: [{ offset: 0, key: "config", value }],
            passOnTo: [],
        };
        await until(() => left.links.send("vm-2", { ...message, records: [] }));
        const sentBytesBefore = left.links.sentBytes;
        left.links.send("vm-2", message);
        await until(() => received.length === 1);
        expect(Buffer.from(received[0] ?? [])).toEqual(Buffer.from(value));
        expect(left.links.sentBytes - sentBytesBefore < value.length / 3).toEqual(true);
        stop.abort();
    },
);
