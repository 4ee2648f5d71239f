import { expect } from "earl";
import { test } from "node:test";
import { Metrics } from "../metrics/Metrics.js";
import { RelayMetrics } from "./RelayMetrics.js";

test("configuration version, offsets and silence are read at each scrape; what is not known yet has no sample", async () => {
    const metrics = new Metrics();
    const state: { version?: bigint; nextOffset?: number | undefined; readerMs?: number; } = {};
    const relayMetrics = new RelayMetrics(metrics, () => state.version);
    relayMetrics.addStream({
        name: "config",
        epoch: () => undefined,
        nextOffset: () => state.nextOffset,
        heardMsAgo: source => source === "reader" ? state.readerMs : 700,
    });
    const before = await metrics.render();
    expect(before).toMatchRegex(/orioleshelf_config_version 0\n/);
    expect(before.includes("log_next_offset{")).toEqual(false);
    expect(before).toMatchRegex(/log_silence_seconds\{stream="config",source="store"\} 0\.7/);
    expect(before.includes('source="reader"')).toEqual(false);

    Object.assign(state, { version: 8n, nextOffset: 3, readerMs: 1_500 });
    const after = await metrics.render();
    expect(after).toMatchRegex(/orioleshelf_config_version 8\n/);
    expect(after).toMatchRegex(/orioleshelf_log_next_offset\{stream="config"\} 3\n/);
    expect(after).toMatchRegex(/orioleshelf_log_silence_seconds\{stream="config",source="reader"\} 1\.5\n/);

    state.nextOffset = undefined;
    expect((await metrics.render()).includes("log_next_offset{")).toEqual(false);
});

test("reads, forwarded reads and refusals are counted by result, and late timers by how late they were", async () => {
    const metrics = new Metrics();
    const relayMetrics = new RelayMetrics(metrics, () => undefined);
    relayMetrics.recordRead("config", "empty");
    relayMetrics.recordRead("config", "empty");
    relayMetrics.recordForwarded("config", { sent: 80, unsent: 6 });
    relayMetrics.recordReceived("upstreams", "gap");
    relayMetrics.recordRefusal({ status: 404, reason: "no-route" });
    relayMetrics.recordHedge("started");
    relayMetrics.recordHedge("refused-budget");
    relayMetrics.recordTimerLateness(30);
    relayMetrics.recordTimerLateness(0);
    const text = await metrics.render();
    expect(text).toMatchRegex(/orioleshelf_log_reads_total\{stream="config",result="empty"\} 2\n/);
    expect(text).toMatchRegex(/orioleshelf_log_forwards_sent_total\{stream="config",result="sent"\} 80\n/);
    expect(text).toMatchRegex(/orioleshelf_log_forwards_sent_total\{stream="config",result="no-link"\} 6\n/);
    expect(text).toMatchRegex(/orioleshelf_log_forwards_received_total\{stream="upstreams",result="gap"\} 1\n/);
    expect(text).toMatchRegex(/orioleshelf_refusals_total\{status="404",reason="no-route"\} 1\n/);
    expect(text).toMatchRegex(/orioleshelf_hedges_total\{result="started"\} 1\n/);
    expect(text).toMatchRegex(/orioleshelf_hedges_total\{result="refused-budget"\} 1\n/);
    expect(text).toMatchRegex(/orioleshelf_timer_lateness_seconds_bucket\{le="0.02"\} 1\n/);
    expect(text).toMatchRegex(/orioleshelf_timer_lateness_seconds_count 2\n/);
});
