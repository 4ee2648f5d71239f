import { setTimeout as sleep } from "node:timers/promises";
import { LogBookingService } from "../../src/node/booking/LogBookingService.js";
import { HttpLogClient } from "../../src/node/platform/log/HttpLogClient.js";
import type { BookingCall } from "../../src/node/services/BookingCall.js";
import type { BookingResponse } from "../../src/node/services/BookingResponse.js";
import { SystemScheduler } from "../../src/node/timers/SystemScheduler.js";
import { BookingSettings } from "../../src/schema/settings/BookingSettings.js";
import { LogStandin } from "../../standins/log/LogStandin.js";
import type { Figure } from "./Figure.js";

const vmCount = 9;
const answer = { status: 201, contentType: "application/json", body: new TextEncoder().encode(JSON.stringify({ ticket: "callout-17" })) };
const neverAborted = new AbortController().signal;

/** Measures latency and log appends of the booking service on nine VMs that share a log stand-in, at a fixed rate of bookings. */
export class BookingBench {
    async run(bookingsPerSecond: number, durationMs: number): Promise<Figure[]> {
        const stop = new AbortController();
        const standin = new LogStandin();
        const { url } = await standin.start(stop.signal);
        const services = Array.from({ length: vmCount }, (...[, index]) => this.startVm(url, `vm${index}`, stop.signal));
        await sleep(200);
        const latenciesMs = await this.runBookings(services, bookingsPerSecond, durationMs);
        await sleep(300);
        const figures = this.toFigures(standin, latenciesMs, `${bookingsPerSecond} bookings/s`, durationMs);
        stop.abort();
        return figures;
    }

    private startVm(url: string, vm: string, signal: AbortSignal): LogBookingService {
        const scheduler = new SystemScheduler();
        const log = new HttpLogClient({ url, availabilityZone: "nadi", scheduler });
        log.start(signal);
        const service = new LogBookingService({
            log,
            scheduler,
            settings: BookingSettings.parse({}),
            vm,
            incarnation: "1",
            isAlive: () => true,
        });
        void service.start(signal);
        return service;
    }

    /** Open loop: runs bookings at a fixed rate. Returns, in ascending order, the time from each call to its upstream send. */
    private async runBookings(services: readonly LogBookingService[], bookingsPerSecond: number, durationMs: number): Promise<number[]> {
        const latenciesMs: number[] = [];
        const pendingBookings: Promise<void>[] = [];
        const startMs = performance.now();
        const count = Math.round(bookingsPerSecond * durationMs / 1_000);
        for (let index = 0; index < count; index++) {
            await sleep(Math.max(0, startMs + index * 1_000 / bookingsPerSecond - performance.now()));
            const callStartMs = performance.now();
            const send = () => {
                latenciesMs.push(performance.now() - callStartMs);
                return Promise.resolve(answer);
            };
            const call = { customer: "vatukoula", key: `key-${index}`, digest: `digest-${index}`, hasUpstreamDeduplication: false };
            const service = services[index % services.length];
            pendingBookings.push(book(service, call, send));
        }
        await Promise.all(pendingBookings);
        if (latenciesMs.length !== count) {
            throw new Error(
                `${count - latenciesMs.length} of ${count} bookings were not sent; log stand-in too slow on this machine, stopping the run`,
            );
        }
        return latenciesMs.sort((left, right) => left - right);
    }

    private toFigures(standin: LogStandin, latenciesMs: readonly number[], variant: string, durationMs: number): Figure[] {
        const percentile = (share: number) => latenciesMs[Math.min(latenciesMs.length - 1, Math.floor(latenciesMs.length * share))] ?? 0;
        return [
            { name: "extraLatencyP50Ms", variant, value: percentile(0.5), unit: "ms" },
            { name: "extraLatencyP99Ms", variant, value: percentile(0.99), unit: "ms" },
            { name: "appendsPerBooking", variant, value: standin.appendCount / latenciesMs.length, unit: "appends" },
            { name: "appendsPerSecond", variant, value: standin.appendCount * 1_000 / durationMs, unit: "1/s" },
            { name: "logBytesPerThousandKeys", variant, value: standin.appendedBytes * 1_000 / latenciesMs.length, unit: "bytes" },
        ];
    }
}

async function book(service: LogBookingService | undefined, call: BookingCall, send: () => Promise<BookingResponse>): Promise<void> {
    await service?.run(call, send, neverAborted);
}
