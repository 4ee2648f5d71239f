import * as z from "zod";
import { BookingSettings } from "./BookingSettings.js";
import { ConfigSettings } from "./ConfigSettings.js";
import { ListenSettings } from "./ListenSettings.js";
import { SecretSource } from "./SecretSource.js";

const PlatformService = z.strictObject({ url: z.url({ protocol: /^https?$/ }) });
const TimeMs = z.number().positive().max(86_400_000);
const SizeBytes = z.int().positive();

/** Settings of one VM, as read from its YAML file. Field names carry their units. */
export const Settings = z.strictObject({
    vm: z.strictObject({
        id: z.string().min(1).max(64),
        availabilityZone: z.string().min(1).max(64),
        region: z.string().min(1).max(64),
    }),
    listen: z.strictObject({
        caller: ListenSettings,
        operator: ListenSettings,
        peer: ListenSettings,
    }),
    peers: z.strictObject({
        /** URLs of the peer listeners of some other VMs, such as `ws://10.0.0.2:7003`. */
        seeds: z.array(z.url({ protocol: /^wss?$/ })).default([]),
        /** URL at which other VMs reach this one; derived from `listen.peer` if omitted. */
        advertiseUrl: z.url({ protocol: /^wss?$/ }).optional(),
        /** Shared key with which VMs authenticate each other. */
        key: SecretSource,
    }),
    operator: z.strictObject({
        /** Bearer token that authenticates operators. */
        token: SecretSource,
    }),
    platform: z.strictObject({
        log: PlatformService,
        vmList: PlatformService,
        weightStore: PlatformService,
    }),
    limits: z.strictObject({
        /** Maximum body size of completion requests and keyed calls, which are buffered in memory. */
        maxBodyBytes: SizeBytes.default(8 * 1024 * 1024),
        /** Maximum size of a body that is streamed to or from a plain service. */
        maxStreamedBodyBytes: SizeBytes.default(256 * 1024 * 1024),
        maxHeaderBytes: SizeBytes.default(16 * 1024),
        maxPeerFrameBytes: SizeBytes.default(4 * 1024 * 1024),
    }).prefault({}),
    timeouts: z.strictObject({
        callerHeadersMs: TimeMs.default(10_000),
        callerBodyMs: TimeMs.default(30_000),
        /** A caller that reads nothing of its response for this long is considered gone. */
        callerStallMs: TimeMs.default(120_000),
        /** Maximum wait for the response headers of an engine, which engines send when they accept a request. */
        upstreamHeadMs: TimeMs.default(5_000),
        /** Time from `/readyz` returning 503 to the first refusal, so that the load balancer can stop sending requests. */
        drainNoticeMs: z.number().min(0).max(600_000).default(3_000),
        /** Maximum time without data on an open upstream response before its connection is considered dead. */
        upstreamGapMs: TimeMs.default(10_000),
        plainCallMs: TimeMs.default(60_000),
        platformRequestMs: TimeMs.default(2_000),
    }).prefault({}),
    logs: z.strictObject({
        format: z.enum(["plain", "json"]).default("plain"),
        /** Enabled log namespaces, in the syntax of the `debug` library. */
        parts: z.string().default("orioleshelf:*"),
    }).prefault({}),
    config: ConfigSettings.prefault({}),
    bookings: BookingSettings.prefault({}),
    explain: z.strictObject({
        /** Size of the ring buffer that keeps decisions for `explain`. */
        ringBytes: SizeBytes.min(64 * 1024).default(32 * 1024 * 1024),
    }).prefault({}),
    report: z.strictObject({
        /** Time between two publications of a VM's service-level intervals to the log. */
        publishIntervalMs: TimeMs.min(1_000).default(60_000),
    }).prefault({}),
}).superRefine(({ bookings, timeouts }, context) => {
    const longestCallMs = timeouts.plainCallMs + bookings.claimWaitMs + bookings.joinWaitMs + timeouts.drainNoticeMs;
    if (bookings.retentionMs <= longestCallMs) {
        const message =
            `must exceed ${longestCallMs} ms, the maximum duration of a keyed call with its waits; raise it or shorten the timeouts`;
        context.addIssue({ code: "custom", path: ["bookings", "retentionMs"], message });
    }
});
export type Settings = z.infer<typeof Settings>;
