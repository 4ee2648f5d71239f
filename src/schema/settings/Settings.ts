import * as z from "zod";
import { BookingSettings } from "./BookingSettings.js";
import { ConfigSettings } from "./ConfigSettings.js";
import { ListenSettings } from "./ListenSettings.js";
import { SecretSource } from "./SecretSource.js";

const PlatformService = z.strictObject({ url: z.url({ protocol: /^https?$/ }) });
const TimeMs = z.number().positive().max(86_400_000);
const SizeBytes = z.int().positive();

/** The settings of one VM, as its YAML file gives them. Every field carries its unit in its name. */
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
        /** Addresses of some other VMs' peer listeners, such as `ws://10.0.0.2:7003`. */
        seeds: z.array(z.url({ protocol: /^wss?$/ })).default([]),
        /** Address at which other VMs reach this one; made from `listen.peer` when left out. */
        advertiseUrl: z.url({ protocol: /^wss?$/ }).optional(),
        /** Shared key with which VMs prove themselves to each other. */
        key: SecretSource,
    }),
    operator: z.strictObject({
        /** Bearer token that operators send. */
        token: SecretSource,
    }),
    platform: z.strictObject({
        log: PlatformService,
        vmList: PlatformService,
        weightStore: PlatformService,
    }),
    limits: z.strictObject({
        /** Largest completion request, and largest body of a keyed call, which are held in memory. */
        maxBodyBytes: SizeBytes.default(8 * 1024 * 1024),
        /** Largest body that is streamed to or from a plain service. */
        maxStreamedBodyBytes: SizeBytes.default(256 * 1024 * 1024),
        maxHeaderBytes: SizeBytes.default(16 * 1024),
        maxPeerFrameBytes: SizeBytes.default(4 * 1024 * 1024),
    }).prefault({}),
    timeouts: z.strictObject({
        callerHeadersMs: TimeMs.default(10_000),
        callerBodyMs: TimeMs.default(30_000),
        /** A caller that takes none of its answer for this long counts as gone. */
        callerStallMs: TimeMs.default(120_000),
        /** Longest wait for the head of an engine's answer, which engines send on accepting a request. */
        upstreamHeadMs: TimeMs.default(5_000),
        /** Time between `/readyz` turning 503 and the first refusal, for the balancer to notice a stop. */
        drainNoticeMs: z.number().min(0).max(600_000).default(3_000),
        /** Longest silence of an open upstream answer before its connection counts as dead. */
        upstreamGapMs: TimeMs.default(10_000),
        plainCallMs: TimeMs.default(60_000),
        platformRequestMs: TimeMs.default(2_000),
    }).prefault({}),
    logs: z.strictObject({
        format: z.enum(["plain", "json"]).default("plain"),
        /** Parts that log, in the syntax of the `debug` library. */
        parts: z.string().default("orioleshelf:*"),
    }).prefault({}),
    config: ConfigSettings.prefault({}),
    bookings: BookingSettings.prefault({}),
    explain: z.strictObject({
        /** Memory of the ring of decisions kept for `explain`. */
        ringBytes: SizeBytes.min(64 * 1024).default(32 * 1024 * 1024),
    }).prefault({}),
    report: z.strictObject({
        /** How often each VM publishes its counted requests on the log. */
        publishIntervalMs: TimeMs.min(1_000).default(60_000),
    }).prefault({}),
}).superRefine(({ bookings, timeouts }, context) => {
    const longestCallMs = timeouts.plainCallMs + bookings.claimWaitMs + bookings.joinWaitMs + timeouts.drainNoticeMs;
    if (bookings.retentionMs <= longestCallMs) {
        const message =
            `must exceed ${longestCallMs}, the longest that a keyed call can last with its waits; raise it or shorten the waits`;
        context.addIssue({ code: "custom", path: ["bookings", "retentionMs"], message });
    }
});
export type Settings = z.infer<typeof Settings>;
