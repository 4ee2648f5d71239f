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
const logPollWaitMs = 2_000;
const peerCheckPeriodMs = 250;
const peerFetchTimeoutMs = 1_000;
const confirmationCheckPeriodMs = 50;
const snapshotCheckPeriodMs = 5_000;

type ChangeRequest = Omit<ConfigChange, "type" | "formatVersion" | "changeId">;

interface LogConfigServiceOptions {
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly settings: ConfigSettings;
    readonly vm: string;
    readonly membership: MembershipService;
    readonly links: PeerLinks;
    /** Returns an id that is unique in the fleet and never reused. */
    readonly uniqueId: () => string;
}

/** Folds the configuration stream of the log into the current configuration and publishes changes; see docs/design/configuration.md. */
export class LogConfigService implements ConfigService {
    private readonly fold = new ConfigFold();
    private readonly recentRecords = new RecentRecords(-1);
    private readonly zoneConfirmations: ZoneConfirmations;
    private readonly publisher: ChangePublisher;
    private readonly snapshotWriter: SnapshotWriter;
    private readonly listeners = new Set<(view: ConfigView) => void>();
    private hasCaughtUp = false;
    private isFetching = false;
    private nextSnapshotOffset = 0;
    private skippedCount = 0;
    private signal: AbortSignal | undefined;

    constructor(private readonly options: LogConfigServiceOptions) {
        this.publisher = new ChangePublisher({ log: options.log, scheduler: options.scheduler, stream: options.settings.stream });
        this.snapshotWriter = new SnapshotWriter(options);
        this.zoneConfirmations = new ZoneConfirmations(options.settings.zones, options.settings.zoneMemoryMs);
    }

    get view(): ConfigView {
        return this.fold.view();
    }

    get isReady(): boolean {
        return this.hasCaughtUp;
    }

    /** Number of configuration records skipped since the start because they were malformed or of a newer format. */
    get skippedRecordCount(): number {
        return this.skippedCount;
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

    /** Loads the newest snapshot and tails the log until `signal` aborts. */
    async start(signal: AbortSignal): Promise<void> {
        this.signal = signal;
        const { scheduler, links } = this.options;
        links.onMessage("configFetch", (...[, message]) => this.createFetchReply(message.fromOffset), signal);
        scheduler.every(peerCheckPeriodMs, () => {
            this.zoneConfirmations.observe(this.options.membership.members, scheduler.nowMs());
            void this.fetchFromPeers(signal);
        }, signal);
        scheduler.every(snapshotCheckPeriodMs, () => {
            if (this.hasCaughtUp) {
                void this.snapshotWriter.writeIfDue(this.fold.offset, () => this.fold.snapshot(), signal);
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
            operations: request.operations.map(operation => this.addReadRevision(operation)),
            type: "change",
            formatVersion: 1,
            changeId: this.options.uniqueId(),
        });
        if (!change.success) {
            return err({
                kind: "invalid",
                message: change.error.issues[0]?.message ?? "change does not match the schema; correct it and retry",
            });
        }
        const refusal = this.fold.findRejection(change.data, Infinity);
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
        return ok(await this.awaitZoneConfirmations(verdict.value.offset, deadlineMs));
    }

    /**
     * Sets the current offset as the read revision of a put whose object does not exist on this VM, so that the fold rejects a repeated
     * append of the same record. A put that replaces an existing object must contain its own read revision; without one it is a conflict.
     */
    private addReadRevision(operation: ChangeRequest["operations"][number]): ChangeRequest["operations"][number] {
        if (operation.readRevision !== undefined || operation.op === "delete") {
            return operation;
        }
        const exists = this.fold.getRevision(operation.object.kind, operation.object.value.name) !== undefined;
        return exists ? operation : { ...operation, readRevision: this.fold.offset };
    }

    private publish(change: ConfigChange, deadlineMs: number): Promise<Result<ConfigFoldResult, ApplyError>> {
        return this.publisher.publish(change, deadlineMs, this.signal ?? AbortSignal.abort());
    }

    private async awaitZoneConfirmations(offset: number, deadlineMs: number): Promise<ApplyResult> {
        for (;;) {
            const pendingZones = this.listPendingZones(offset);
            if (pendingZones.length === 0) {
                return { status: "accepted", offset, pendingZones };
            }
            if (this.options.scheduler.nowMs() >= deadlineMs) {
                return { status: "pending", offset, pendingZones };
            }
            await sleepFor(this.options.scheduler, confirmationCheckPeriodMs);
        }
    }

    private listPendingZones(offset: number): string[] {
        const members = this.options.membership.members.map(member => this.updateOwnMember(member));
        this.zoneConfirmations.observe(members, this.options.scheduler.nowMs());
        return this.zoneConfirmations.listPendingZones(members, offset);
    }

    private updateOwnMember(member: Member): Member {
        return member.vm === this.options.vm
            ? { ...member, configOffset: this.fold.offset, state: member.state === "starting" && this.hasCaughtUp ? "ready" : member.state }
            : member;
    }

    private async tailChanges(signal: AbortSignal): Promise<void> {
        const tail = new LogTail({
            log: this.options.log,
            scheduler: this.options.scheduler,
            stream: this.options.settings.stream,
            maxPollWaitMs: logPollWaitMs,
            nextOffset: () => this.fold.offset + 1,
            onRecords: records => {
                this.foldRecords(records);
            },
            onCaughtUp: () => {
                this.markCaughtUp("the log");
            },
            onTruncated: firstOffset => {
                log("configuration stream was truncated; rereading the snapshot stream", { firstOffset });
                this.nextSnapshotOffset = 0;
            },
            onError: message => {
                log("cannot read the configuration stream; retrying with backoff", { reason: message });
            },
        });
        await tail.start(signal);
    }

    private async tailSnapshots(signal: AbortSignal): Promise<void> {
        const tail = new LogTail({
            log: this.options.log,
            scheduler: this.options.scheduler,
            stream: this.options.settings.snapshotStream,
            maxPollWaitMs: logPollWaitMs,
            nextOffset: () => this.nextSnapshotOffset,
            onRecords: records => {
                this.processSnapshotRecords(records);
            },
            onTruncated: firstOffset => {
                this.nextSnapshotOffset = firstOffset;
            },
        });
        await tail.start(signal);
    }

    /** Reads the snapshot stream once to its end. After a read error, the log tails and the peers provide what is missing. */
    private async readSnapshots(signal: AbortSignal): Promise<void> {
        for (;;) {
            const read = await this.options.log.read(this.options.settings.snapshotStream, this.nextSnapshotOffset, 0, signal);
            if (read.isOk()) {
                this.processSnapshotRecords(read.value);
            }
            else if (read.error.kind === "forgotten" && read.error.firstOffset !== undefined) {
                this.nextSnapshotOffset = read.error.firstOffset;
                continue;
            }
            if (read.isErr() || read.value.length === 0) {
                return;
            }
        }
    }

    /** Checks every snapshot, not only the last: a VM that was paused may append an older snapshot after a newer one. */
    private processSnapshotRecords(records: readonly LogRecord[]): void {
        for (const record of records) {
            this.nextSnapshotOffset = Math.max(this.nextSnapshotOffset, record.offset + 1);
            const snapshot = decodeSnapshot(record.payload);
            if (snapshot.isOk()) {
                this.processSnapshot(snapshot.value);
            }
            else {
                log("skipping malformed configuration snapshot", { offset: record.offset, reason: snapshot.error });
            }
        }
    }

    private processSnapshot(snapshot: ConfigSnapshot): void {
        this.snapshotWriter.observe(snapshot);
        this.loadSnapshot(snapshot);
    }

    private loadSnapshot(snapshot: ConfigSnapshot): void {
        if (this.fold.load(snapshot)) {
            this.recentRecords.reset(snapshot.offset);
            this.notifyListeners();
        }
    }

    private foldRecords(records: readonly LogRecord[]): void {
        const previousOffset = this.fold.offset;
        for (const record of records) {
            if (record.offset > this.fold.offset) {
                this.foldRecord(record);
            }
        }
        if (this.fold.offset > previousOffset) {
            this.notifyListeners();
        }
    }

    private foldRecord(record: LogRecord): void {
        const result = this.fold.fold(record.offset, record.payload);
        this.recentRecords.add(record);
        if (result.verdict === "skipped") {
            this.skippedCount++;
            log("skipping malformed or unsupported configuration record", { offset: record.offset, reason: result.message });
        }
        this.publisher.observe(result);
    }

    private notifyListeners(): void {
        const view = this.fold.view();
        for (const listener of [...this.listeners]) {
            listener(view);
        }
    }

    private markCaughtUp(source: string): void {
        if (!this.hasCaughtUp) {
            this.hasCaughtUp = true;
            log("configuration loaded", { offset: this.fold.offset, source });
        }
    }

    private createFetchReply(fromOffset: number): PeerMessage {
        const records = this.recentRecords.listFrom(fromOffset);
        if (records !== undefined) {
            return {
                type: "configRecords",
                records: records.map(({ offset, payload }) => ({ offset, payload: Uint8Array.from(payload) })),
            };
        }
        return { type: "configRecords", records: [], snapshot: Uint8Array.from(encodeSnapshot(this.fold.snapshot())) };
    }

    /** Fetches from the peer with the highest configuration offset, if it is ahead of this VM or this VM has not caught up yet. */
    private async fetchFromPeers(signal: AbortSignal): Promise<void> {
        const peer = this.selectFetchPeer();
        if (peer === undefined || this.isFetching) {
            return;
        }
        this.isFetching = true;
        const reply = await this.options.links.request(
            peer.vm,
            { type: "configFetch", fromOffset: this.fold.offset + 1 },
            peerFetchTimeoutMs,
            signal,
        );
        this.isFetching = false;
        if (reply.isOk() && reply.value.type === "configRecords") {
            this.applyFetchReply(peer, reply.value);
        }
    }

    private selectFetchPeer(): Member | undefined {
        const candidates = this.options.membership.members.filter(member => member.vm !== this.options.vm && member.state !== "starting");
        const mostAdvanced = candidates.reduce<Member | undefined>(
            (left, right) => left === undefined || right.configOffset > left.configOffset ? right : left,
            undefined,
        );
        return mostAdvanced !== undefined && (!this.hasCaughtUp || mostAdvanced.configOffset > this.fold.offset) ? mostAdvanced : undefined;
    }

    private applyFetchReply(peer: Member, reply: Extract<PeerMessage, { type: "configRecords"; }>): void {
        if (reply.snapshot !== undefined) {
            const snapshot = decodeSnapshot(reply.snapshot);
            if (snapshot.isOk()) {
                this.loadSnapshot(snapshot.value);
            }
        }
        this.foldRecords(reply.records);
        if (this.fold.offset >= peer.configOffset) {
            this.markCaughtUp(`peer ${peer.vm}`);
        }
    }
}
