import { err, ok, ResultAsync } from "neverthrow";
import type { Result } from "neverthrow";
import { ConfigFold } from "../../core/config/ConfigFold.js";
import type { ConfigFoldResult } from "../../core/config/ConfigFoldResult.js";
import type { ConfigSnapshot } from "../../core/config/ConfigSnapshot.js";
import type { ConfigView } from "../../core/config/ConfigView.js";
import { ZoneConfirmations } from "../../core/config/ZoneConfirmations.js";
import type { Member } from "../../core/membership/Member.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { ConfigChange } from "../../schema/config/ConfigChange.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { ConfigSettings } from "../../schema/settings/ConfigSettings.js";
import { createLogger } from "../logs/createLogger.js";
import { LogTail } from "../platform/log/LogTail.js";
import type { ApplyError } from "../services/ApplyError.js";
import type { ApplyResult } from "../services/ApplyResult.js";
import type { ConfigService } from "../services/ConfigService.js";
import type { LogClient } from "../services/LogClient.js";
import type { LogRecord } from "../services/LogRecord.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { PeerLinks } from "../services/PeerLinks.js";
import { ChangePublisher } from "./ChangePublisher.js";
import { decodeSnapshot } from "./decodeSnapshot.js";
import { encodeSnapshot } from "./encodeSnapshot.js";
import { RecentRecords } from "./RecentRecords.js";
import { sleepFor } from "./sleepFor.js";
import { SnapshotWriter } from "./SnapshotWriter.js";

const log = createLogger("config");
const pollMs = 2_000;
const peerCheckMs = 250;
const peerTimeoutMs = 1_000;
const confirmCheckMs = 50;
const snapshotCheckMs = 5_000;

type ChangeRequest = Omit<ConfigChange, "type" | "formatVersion" | "changeId">;

interface LogConfigServiceOptions {
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly settings: ConfigSettings;
    readonly vm: string;
    readonly membership: MembershipService;
    readonly links: PeerLinks;
    /** Gives an id that is unique over the fleet and over time. */
    readonly uniqueId: () => string;
}

/** The configuration as a fold of the log's configuration stream; see docs/design/configuration.md. */
export class LogConfigService implements ConfigService {
    private readonly fold = new ConfigFold();
    private readonly recent = new RecentRecords(-1);
    private readonly zones: ZoneConfirmations;
    private readonly publisher: ChangePublisher;
    private readonly snapshots: SnapshotWriter;
    private readonly listeners = new Set<(view: ConfigView) => void>();
    private ready = false;
    private isFetching = false;
    private nextSnapshotRecord = 0;
    private skipped = 0;
    private signal: AbortSignal | undefined;

    constructor(private readonly options: LogConfigServiceOptions) {
        this.publisher = new ChangePublisher({ log: options.log, scheduler: options.scheduler, stream: options.settings.stream });
        this.snapshots = new SnapshotWriter(options);
        this.zones = new ZoneConfirmations(options.settings.zones, options.settings.zoneMemoryMs);
    }

    get view(): ConfigView {
        return this.fold.view();
    }

    get isReady(): boolean {
        return this.ready;
    }

    /** Records skipped since the start because they were malformed or of a newer format. */
    get skippedRecordCount(): number {
        return this.skipped;
    }

    onChange(listener: (view: ConfigView) => void, signal: AbortSignal): void {
        this.listeners.add(listener);
        signal.addEventListener("abort", () => {
            this.listeners.delete(listener);
        }, { once: true });
    }

    findRevision(kind: string, name: string): number | undefined {
        return this.fold.getRevision(kind, name);
    }

    /** Loads the newest snapshot and follows the log until `signal` aborts. */
    async start(signal: AbortSignal): Promise<void> {
        this.signal = signal;
        const { scheduler, links } = this.options;
        links.onMessage("configFetch", (...[, message]) => this.answerFetch(message.fromOffset), signal);
        scheduler.every(peerCheckMs, () => {
            this.zones.observe(this.options.membership.members, scheduler.nowMs());
            void this.fetchFromPeers(signal);
        }, signal);
        scheduler.every(snapshotCheckMs, () => {
            if (this.ready) {
                void this.snapshots.writeIfDue(this.fold.offset, () => this.fold.snapshot(), signal);
            }
        }, signal);
        await this.readSnapshots(signal);
        await Promise.all([this.tailChanges(signal), this.tailSnapshots(signal)]);
    }

    apply(change: ChangeRequest, waitMs: number): ResultAsync<ApplyResult, ApplyError> {
        return new ResultAsync(this.applyChange(change, waitMs));
    }

    private async applyChange(request: ChangeRequest, waitMs: number): Promise<Result<ApplyResult, ApplyError>> {
        const deadlineMs = this.options.scheduler.nowMs() + waitMs;
        const change = ConfigChange.safeParse({
            ...request,
            operations: request.operations.map(operation => this.withReadRevision(operation)),
            type: "change",
            formatVersion: 1,
            changeId: this.options.uniqueId(),
        });
        if (!change.success) {
            return err({ kind: "invalid", message: change.error.issues[0]?.message ?? "the change is malformed" });
        }
        const refusal = this.fold.refuse(change.data, Infinity);
        if (refusal !== undefined) {
            return err({ kind: refusal.verdict, message: refusal.message });
        }
        const verdict = await this.publish(change.data, deadlineMs);
        if (verdict.isErr()) {
            return err(verdict.error);
        }
        if (verdict.value.verdict !== "applied") {
            const kind = verdict.value.verdict === "conflict" ? "conflict" : "invalid";
            return err({ kind, message: verdict.value.message });
        }
        return ok(await this.awaitZones(verdict.value.offset, deadlineMs));
    }

    /** An object that the operator has not read must not exist, as far as this VM knows; the revision makes a repeat of the record void. */
    private withReadRevision(operation: ChangeRequest["operations"][number]): ChangeRequest["operations"][number] {
        if (operation.readRevision !== undefined || operation.op === "delete") {
            return operation;
        }
        const exists = this.fold.getRevision(operation.object.kind, operation.object.value.name) !== undefined;
        return exists ? operation : { ...operation, readRevision: this.fold.offset };
    }

    private publish(change: ConfigChange, deadlineMs: number): Promise<Result<ConfigFoldResult, ApplyError>> {
        return this.publisher.publish(change, deadlineMs, this.signal ?? AbortSignal.abort());
    }

    private async awaitZones(offset: number, deadlineMs: number): Promise<ApplyResult> {
        for (;;) {
            const pendingZones = this.pendingZones(offset);
            if (pendingZones.length === 0) {
                return { status: "accepted", offset, pendingZones };
            }
            if (this.options.scheduler.nowMs() >= deadlineMs) {
                return { status: "pending", offset, pendingZones };
            }
            await sleepFor(this.options.scheduler, confirmCheckMs);
        }
    }

    private pendingZones(offset: number): string[] {
        const members = this.options.membership.members.map(member => this.withOwnOffset(member));
        this.zones.observe(members, this.options.scheduler.nowMs());
        return this.zones.pending(members, offset);
    }

    private withOwnOffset(member: Member): Member {
        return member.vm === this.options.vm
            ? { ...member, configOffset: this.fold.offset, state: member.state === "starting" && this.ready ? "ready" : member.state }
            : member;
    }

    private async tailChanges(signal: AbortSignal): Promise<void> {
        const tail = new LogTail({
            log: this.options.log,
            scheduler: this.options.scheduler,
            stream: this.options.settings.stream,
            maxPollWaitMs: pollMs,
            nextOffset: () => this.fold.offset + 1,
            onRecords: records => {
                this.foldRecords(records);
            },
            onCaughtUp: () => {
                this.becomeReady("the log");
            },
            onTruncated: firstOffset => {
                log("the log forgot changes; look for a snapshot", { firstOffset });
                this.nextSnapshotRecord = 0;
            },
            onError: message => {
                log("cannot read the configuration stream", { reason: message });
            },
        });
        await tail.start(signal);
    }

    private async tailSnapshots(signal: AbortSignal): Promise<void> {
        const tail = new LogTail({
            log: this.options.log,
            scheduler: this.options.scheduler,
            stream: this.options.settings.snapshotStream,
            maxPollWaitMs: pollMs,
            nextOffset: () => this.nextSnapshotRecord,
            onRecords: records => {
                this.takeSnapshots(records);
            },
            onTruncated: firstOffset => {
                this.nextSnapshotRecord = firstOffset;
            },
        });
        await tail.start(signal);
    }

    /** Reads the snapshot stream to its end, once; a failure leaves the rest to the tails and to the peers. */
    private async readSnapshots(signal: AbortSignal): Promise<void> {
        for (;;) {
            const read = await this.options.log.read(this.options.settings.snapshotStream, this.nextSnapshotRecord, 0, signal);
            if (read.isOk()) {
                this.takeSnapshots(read.value);
            }
            else if (read.error.kind === "forgotten" && read.error.firstOffset !== undefined) {
                this.nextSnapshotRecord = read.error.firstOffset;
                continue;
            }
            if (read.isErr() || read.value.length === 0) {
                return;
            }
        }
    }

    /** Takes every snapshot: one of an older state may stand after a newer one, as from a VM that was paused. */
    private takeSnapshots(records: readonly LogRecord[]): void {
        for (const record of records) {
            this.nextSnapshotRecord = Math.max(this.nextSnapshotRecord, record.offset + 1);
            const snapshot = decodeSnapshot(record.payload);
            if (snapshot.isOk()) {
                this.takeSnapshot(snapshot.value);
            }
            else {
                log("skip a malformed snapshot", { offset: record.offset, reason: snapshot.error });
            }
        }
    }

    private takeSnapshot(snapshot: ConfigSnapshot): void {
        this.snapshots.observe(snapshot);
        this.loadSnapshot(snapshot);
    }

    private loadSnapshot(snapshot: ConfigSnapshot): void {
        if (this.fold.load(snapshot)) {
            this.recent.reset(snapshot.offset);
            this.notify();
        }
    }

    private foldRecords(records: readonly LogRecord[]): void {
        const before = this.fold.offset;
        for (const record of records) {
            if (record.offset > this.fold.offset) {
                this.foldRecord(record);
            }
        }
        if (this.fold.offset > before) {
            this.notify();
        }
    }

    private foldRecord(record: LogRecord): void {
        const result = this.fold.fold(record.offset, record.payload);
        this.recent.add(record);
        if (result.verdict === "skipped") {
            this.skipped++;
            log("SKIP a record of the configuration stream", { offset: record.offset, reason: result.message });
        }
        this.publisher.observe(result);
    }

    private notify(): void {
        const view = this.fold.view();
        for (const listener of [...this.listeners]) {
            listener(view);
        }
    }

    private becomeReady(source: string): void {
        if (!this.ready) {
            this.ready = true;
            log("configuration is loaded", { offset: this.fold.offset, source });
        }
    }

    private answerFetch(fromOffset: number): PeerMessage {
        const records = this.recent.from(fromOffset);
        if (records !== undefined) {
            return {
                type: "configRecords",
                records: records.map(({ offset, payload }) => ({ offset, payload: Uint8Array.from(payload) })),
            };
        }
        return { type: "configRecords", records: [], snapshot: Uint8Array.from(encodeSnapshot(this.fold.snapshot())) };
    }

    /** Asks the peer that is furthest ahead, when one is ahead of this VM or this VM has no state yet. */
    private async fetchFromPeers(signal: AbortSignal): Promise<void> {
        const peer = this.bestPeer();
        if (peer === undefined || this.isFetching) {
            return;
        }
        this.isFetching = true;
        const reply = await this.options.links.request(
            peer.vm,
            { type: "configFetch", fromOffset: this.fold.offset + 1 },
            peerTimeoutMs,
            signal,
        );
        this.isFetching = false;
        if (reply.isOk() && reply.value.type === "configRecords") {
            this.takeFetched(peer, reply.value);
        }
    }

    private bestPeer(): Member | undefined {
        const others = this.options.membership.members.filter(member => member.vm !== this.options.vm && member.state !== "starting");
        const best = others.reduce<Member | undefined>(
            (left, right) => left === undefined || right.configOffset > left.configOffset ? right : left,
            undefined,
        );
        return best !== undefined && (!this.ready || best.configOffset > this.fold.offset) ? best : undefined;
    }

    private takeFetched(peer: Member, reply: Extract<PeerMessage, { type: "configRecords"; }>): void {
        if (reply.snapshot !== undefined) {
            const snapshot = decodeSnapshot(reply.snapshot);
            if (snapshot.isOk()) {
                this.loadSnapshot(snapshot.value);
            }
        }
        this.foldRecords(reply.records);
        if (this.fold.offset >= peer.configOffset) {
            this.becomeReady(`peer ${peer.vm}`);
        }
    }
}
