import { VirtualScheduler } from "../../src/core/util/VirtualScheduler.js";
import { BookingSendError } from "../../src/node/booking/BookingSendError.js";
import { hashBookingText } from "../../src/node/booking/hashBookingText.js";
import { LogBookingService } from "../../src/node/booking/LogBookingService.js";
import type { BookingResponse } from "../../src/node/services/BookingResponse.js";
import { BookingSettings } from "../../src/schema/settings/BookingSettings.js";
import type { BookingEvent } from "../checker/BookingEvent.js";
import { FakeLog } from "../fakes/FakeLog.js";
import type { FakeLogClient } from "../fakes/FakeLogClient.js";
import { FakeProcess } from "../fakes/FakeProcess.js";
import type { BookingStep } from "./BookingStep.js";

const vmCount = 3;
const keyCount = 3;
const linkDelayMs = 5;
const customer = "vatukoula";
const settleMs = 14_000;
const finalCallsMs = 16_000;

type CallStep = Extract<BookingStep, { kind: "call"; }>;

interface FleetVm {
    readonly process: FakeProcess;
    readonly client: FakeLogClient;
    readonly service: LogBookingService;
    readonly incarnation: string;
    isSuspected: boolean;
}

/** Runs the real booking service on three VMs over a fake log and a fake upstream, and records the history. */
export class BookingFleet {
    static readonly settings = BookingSettings.parse({
        claimWaitMs: 1_000,
        joinWaitMs: 5_000,
        retentionMs: 600_000,
        answerMemoryBytes: 20,
    });
    readonly history: BookingEvent[] = [];
    private readonly scheduler = new VirtualScheduler(1_700_000_000_000);
    private readonly log = new FakeLog(this.scheduler);
    private readonly vms: FleetVm[] = [];
    private readonly deduplicated = new Map<string, { readonly digest: string; readonly answer: string; }>();
    private nextCallId = 0;
    private incarnationCount = 0;

    /**
     * `plant` can inject a fault into each service, to show that the checker detects it. The log drops records that landed
     * more than `logKeepsMs` ago.
     */
    constructor(
        private readonly plant: (service: LogBookingService) => void = () => undefined,
        private readonly settings = BookingFleet.settings,
        private readonly logKeepsMs = Infinity,
    ) {
        this.log.onLanded = (stream, offset, payload) => {
            this.record({ type: "landed", atMs: this.scheduler.nowMs(), stream, offset, payload });
        };
        for (let vm = 0; vm < vmCount; vm++) {
            this.startVm(vm);
        }
    }

    async perform(step: BookingStep): Promise<void> {
        this.dropOldRecords();
        if (step.kind === "advance") {
            await this.scheduler.advanceAsync(step.durationMs);
            return;
        }
        const vm = this.vms[step.vm] as FleetVm;
        switch (step.kind) {
            case "call":
                this.call(step);
                break;
            case "crash":
                this.crash(step.vm);
                break;
            case "start":
                this.restart(step.vm);
                break;
            case "pause":
                vm.process.pause();
                break;
            case "stall":
                vm.process.pause();
                await this.scheduler.advanceAsync(step.durationMs);
                await vm.process.resume(step.isNewestFirst, step.wasSuspended);
                break;
            case "resume":
                await vm.process.resume(step.isNewestFirst, step.wasSuspended);
                break;
            case "logDown":
            case "logUp":
                vm.client.isDown = step.kind === "logDown";
                vm.client.wake();
                break;
            case "logDelay":
                vm.client.delayMs = step.delayMs;
                break;
            case "appendFault":
                vm.client.appendFaults.push(step.fault);
                break;
            case "suspect":
                vm.isSuspected = true;
                break;
        }
    }

    /** Clears every fault, waits for the fleet to settle and calls each key once more. */
    async finish(): Promise<void> {
        for (const [index, vm] of this.vms.entries()) {
            await vm.process.resume(false, false);
            vm.client.isDown = false;
            vm.client.delayMs = linkDelayMs;
            vm.client.appendFaults.length = 0;
            vm.isSuspected = false;
            vm.client.wake();
            this.restart(index);
        }
        await this.scheduler.advanceAsync(settleMs);
        this.record({ type: "healed", atMs: this.scheduler.nowMs() });
        for (let key = 0; key < keyCount; key++) {
            const sentCall = this.history.find(event => event.type === "called" && event.key === `k${key}` && this.wasSent(event.callId));
            const digest = sentCall?.type === "called" ? Number(sentCall.digest.slice(1)) : 0;
            this.call({ kind: "call", vm: key % vmCount, key, digest, upstream: { kind: "answer", tookMs: 1 }, cancelAfterMs: undefined });
        }
        await this.scheduler.advanceAsync(finalCallsMs);
    }

    private dropOldRecords(): void {
        const oldestMs = this.scheduler.nowMs() - this.logKeepsMs;
        const kept = this.history.filter(event => event.type === "landed" && event.atMs >= oldestMs).length;
        this.log.forget(this.settings.stream, kept);
    }

    private wasSent(callId: number): boolean {
        return this.history.some(event => event.type === "sent" && event.callId === callId);
    }

    private startVm(index: number): void {
        const process = new FakeProcess(this.scheduler);
        const client = this.log.client();
        const vm = `vm${index}`;
        const incarnation = String(this.incarnationCount++);
        client.delayMs = linkDelayMs;
        client.gate = () => process.gate();
        client.onRead = (stream, records) => {
            for (const { offset } of records) {
                this.record({ type: "read", atMs: this.scheduler.nowMs(), vm, incarnation, stream, offset });
            }
        };
        client.onAppend = (stream, payload) => {
            this.record({ type: "appended", atMs: this.scheduler.nowMs(), vm, stream, payload });
        };
        const service = new LogBookingService({
            log: client,
            scheduler: process.scheduler,
            settings: this.settings,
            vm,
            incarnation,
            isAlive: (other, otherIncarnation) =>
                this.vms.some((candidate, candidateIndex) =>
                    `vm${candidateIndex}` === other && candidate.incarnation === otherIncarnation && !candidate.isSuspected
                    && !candidate.process.isCrashed
                ),
        });
        this.plant(service);
        this.vms[index] = { process, client, service, incarnation, isSuspected: false };
        this.record({ type: "vmStarted", atMs: this.scheduler.nowMs(), vm, incarnation });
        void service.start(new AbortController().signal);
    }

    private crash(index: number): void {
        const vm = this.vms[index] as FleetVm;
        if (!vm.process.isCrashed) {
            vm.process.crash();
            this.record({ type: "vmCrashed", atMs: this.scheduler.nowMs(), vm: `vm${index}`, incarnation: vm.incarnation });
        }
    }

    private restart(index: number): void {
        if (this.vms[index]?.process.isCrashed) {
            this.startVm(index);
        }
    }

    private call(step: CallStep): void {
        const vm = this.vms[step.vm] as FleetVm;
        if (!vm.process.isRunning) {
            return;
        }
        const callId = this.nextCallId++;
        const key = `k${step.key}`;
        const digest = `d${step.digest}`;
        const upstreamDeduplicates = step.key === keyCount - 1;
        this.record({
            type: "called",
            atMs: this.scheduler.nowMs(),
            callId,
            vm: `vm${step.vm}`,
            incarnation: vm.incarnation,
            key,
            streamKey: hashBookingText(customer, key),
            digest,
            upstreamDeduplicates,
        });
        const cancel = new AbortController();
        if (step.cancelAfterMs !== undefined) {
            vm.process.scheduler.after(step.cancelAfterMs, () => {
                cancel.abort();
            }, cancel.signal);
        }
        const send = () => this.send(vm, callId, step, upstreamDeduplicates);
        void vm.service.run({ customer, key, digest, hasUpstreamDeduplication: upstreamDeduplicates }, send, cancel.signal).match(
            answer => {
                this.recordTold(callId, { outcome: "answered", answer: new TextDecoder().decode(answer.body) });
            },
            error => {
                this.recordTold(callId, { outcome: error.outcome, kind: error.kind });
            },
        );
    }

    private recordTold(callId: number, told: Extract<BookingEvent, { type: "told"; }>["told"]): void {
        this.record({ type: "told", atMs: this.scheduler.nowMs(), callId, told });
    }

    /** Simulates the upstream, which continues while the calling VM is paused and after it crashes. */
    private async send(vm: FleetVm, callId: number, step: CallStep, hasDeduplication: boolean): Promise<BookingResponse> {
        const key = `k${step.key}`;
        const digest = `d${step.digest}`;
        this.record({ type: "sent", atMs: this.scheduler.nowMs(), callId });
        await this.sleep(step.upstream.tookMs);
        if (step.upstream.kind === "refuse") {
            await vm.process.gate();
            throw new BookingSendError("not-run", "refused");
        }
        const earlierRun = hasDeduplication ? this.deduplicated.get(key) : undefined;
        if (earlierRun !== undefined && earlierRun.digest !== digest) {
            await vm.process.gate();
            throw new BookingSendError("not-run", "key used with another body");
        }
        const answer = earlierRun?.answer ?? `${key}/${digest} by call ${callId}`;
        if (hasDeduplication) {
            this.deduplicated.set(key, { digest, answer });
        }
        this.record({ type: "ran", atMs: this.scheduler.nowMs(), callId, answer });
        await vm.process.gate();
        if (step.upstream.kind === "lose") {
            throw new Error("connection closed");
        }
        this.record({ type: "upstreamAnswered", atMs: this.scheduler.nowMs(), callId });
        return { status: 201, contentType: "text/plain", body: new TextEncoder().encode(answer) };
    }

    private sleep(durationMs: number): Promise<void> {
        return new Promise(resolve => {
            this.scheduler.after(durationMs, resolve, new AbortController().signal);
        });
    }

    private record(event: BookingEvent): void {
        this.history.push(event);
    }
}
