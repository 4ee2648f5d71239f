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
const never = new AbortController().signal;

/** Nine VMs with the real booking service over the log stand-in, at a fixed rate of bookings. */
export class BookingBench {
    async run(bookingsPerSecond: number, durationMs: number): Promise<Figure[]> {
        const stop = new AbortController();
        const standin = new LogStandin();
        const { url } = await standin.start(stop.signal);
        const services = Array.from({ length: vmCount }, (...[, index]) => this.startVm(url, `vm${index}`, stop.signal));
        await sleep(200);
        const latenciesMs = await this.load(services, bookingsPerSecond, durationMs);
        await sleep(300);
        const figures = this.figures(standin, latenciesMs, `${bookingsPerSecond} bookings/s`, durationMs);
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

    /** Books at a steady rate, whatever the answers take; gives the time from each call to its sending. */
    private async load(services: readonly LogBookingService[], perSecond: number, durationMs: number): Promise<number[]> {
        const latenciesMs: number[] = [];
        const running: Promise<void>[] = [];
        const startMs = performance.now();
        const count = Math.round(perSecond * durationMs / 1_000);
        for (let index = 0; index < count; index++) {
            await sleep(Math.max(0, startMs + index * 1_000 / perSecond - performance.now()));
            const calledMs = performance.now();
            const send = () => {
                latenciesMs.push(performance.now() - calledMs);
                return Promise.resolve(answer);
            };
            const call = { customer: "vatukoula", key: `key-${index}`, digest: `digest-${index}`, hasUpstreamDeduplication: false };
            const service = services[index % services.length];
            running.push(book(service, call, send));
        }
        await Promise.all(running);
        if (latenciesMs.length !== count) {
            throw new Error(
                `${count - latenciesMs.length} of ${count} bookings were not sent; the log stand-in was too slow for this machine`,
            );
        }
        return latenciesMs.sort((left, right) => left - right);
    }

    private figures(standin: LogStandin, latenciesMs: readonly number[], variant: string, durationMs: number): Figure[] {
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
    await service?.run(call, send, never);
}
