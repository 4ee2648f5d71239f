import type { ConfigChange } from "../../schema/config/ConfigChange.js";
import type { ConfigKind } from "../../schema/config/ConfigKind.js";
import type { ConfigObject } from "../../schema/config/ConfigObject.js";
import type { ConfigFoldResult } from "./ConfigFoldResult.js";
import type { ConfigSnapshot } from "./ConfigSnapshot.js";
import type { ConfigView } from "./ConfigView.js";
import { decodeConfigRecord } from "./decodeConfigRecord.js";
import { findConstraintViolation } from "./findConstraintViolation.js";
import { listUniqueNames } from "./listUniqueNames.js";
import type { StoredConfigObject } from "./StoredConfigObject.js";

type Operation = ConfigChange["operations"][number];

/** Number of deletions that are stored individually; older ones are covered by the deletion floor. */
const maxDeletions = 10_000;
/** Number of ids of invalid changes that are stored. */
const maxInvalidChangeIds = 1_000;
/** Result for a change whose id is among the stored ids of invalid changes. */
const repeatedChangeRejection = {
    verdict: "invalid",
    message: "the change was already rejected as invalid; publish a corrected change",
} as const;
const configKinds: readonly ConfigKind[] = ["serviceClass", "customer", "pool", "pathShare"];

/**
 * Deterministic fold of the configuration stream. Two folds of the same records have the same state, whether they started at the first
 * record or at a snapshot. Changes are atomic: either all operations of a change are applied or none.
 */
export class ConfigFold {
    private lastOffset = -1;
    private readonly objects = new Map<ConfigKind, Map<string, StoredConfigObject>>();
    /** Object that owns each name that must be unique among the objects of a kind, by `kind/name`. */
    private readonly owners = new Map<string, string>();
    /** Offsets of deletions by `kind/name`, oldest first. */
    private readonly deletions = new Map<string, number>();
    /** Highest offset among the deletions that are no longer stored individually; -1 if there are none. */
    private deletionFloor = -1;
    /**
     * Ids of the most recent invalid changes, oldest first. A change once rejected as invalid stays rejected when its record is appended
     * again, as its author has been told so. The ids of conflicting changes are not needed: their read revisions stay outdated forever.
     */
    private readonly invalidIds = new Set<string>();
    private cachedView: ConfigView | undefined;

    constructor() {
        for (const kind of configKinds) {
            this.objects.set(kind, new Map());
        }
    }

    /** Offset of the last folded record; -1 before the first. */
    get offset(): number {
        return this.lastOffset;
    }

    /** Folds the record at `offset`, which must be higher than all offsets folded before. */
    fold(offset: number, payload: Uint8Array): ConfigFoldResult {
        this.lastOffset = offset;
        this.cachedView = undefined;
        const decoded = decodeConfigRecord(payload);
        if (decoded.isErr()) {
            return { offset, changeId: undefined, verdict: "skipped", message: decoded.error };
        }
        const change = decoded.value;
        const rejection = this.invalidIds.has(change.changeId) ? repeatedChangeRejection : this.findRejection(change, offset);
        if (rejection !== undefined) {
            this.recordInvalidChange(change.changeId, rejection.verdict);
            return { offset, changeId: change.changeId, ...rejection };
        }
        for (const operation of change.operations) {
            this.applyOperation(operation, offset);
        }
        return { offset, changeId: change.changeId, verdict: "applied", message: "" };
    }

    /** Reason why a change at `offset` would be rejected; undefined if it would be applied. */
    findRejection(
        change: Pick<ConfigChange, "operations">,
        offset: number,
    ): { verdict: "conflict" | "invalid"; message: string; } | undefined {
        if (change.operations.some(operation => (operation.readRevision ?? -1) >= offset)) {
            return {
                verdict: "invalid",
                message: "a read revision is not lower than the offset of the change; read the objects again and repeat the change",
            };
        }
        const conflict = change.operations.find(operation => this.isStale(operation));
        if (conflict !== undefined) {
            const { kind, name } = getTarget(conflict);
            const revision = this.getLastChangeOffset(kind, name);
            return {
                verdict: "conflict",
                message: `${kind} "${name}" was changed or deleted at revision ${revision}; read it again and repeat the change`,
            };
        }
        const message = this.findViolation(change.operations);
        return message === undefined ? undefined : { verdict: "invalid", message };
    }

    /** Offset of the last change of an object; undefined if the object does not exist. */
    getRevision(kind: string, name: string): number | undefined {
        return this.objects.get(kind as ConfigKind)?.get(name)?.revision;
    }

    /** Immutable view of the configuration as of `offset`. Returns the same view until the next record is folded. */
    view(): ConfigView {
        this.cachedView ??= {
            offset: this.lastOffset,
            serviceClasses: this.collectValues("serviceClass"),
            customers: this.collectValues("customer"),
            pools: this.collectValues("pool"),
            pathShares: this.collectValues("pathShare"),
        };
        return this.cachedView;
    }

    /** Snapshot of the whole state. Objects are sorted by kind and name, so that equal states give equal snapshots. */
    snapshot(): ConfigSnapshot {
        const objects = configKinds.flatMap(kind => {
            const stored = [...(this.objects.get(kind) ?? new Map<string, StoredConfigObject>()).values()];
            return stored.sort((left, right) => compareStrings(left.object.value.name, right.object.value.name));
        });
        const deletions = [...this.deletions].map(([id, revision]) => ({ ...parseObjectId(id), revision }));
        return {
            type: "snapshot",
            formatVersion: 1,
            offset: this.lastOffset,
            objects,
            deletions,
            deletionFloor: this.deletionFloor,
            invalidIds: [...this.invalidIds],
        };
    }

    /** Replaces the state by a snapshot with a higher offset. Returns false for any other snapshot, as the state never goes back. */
    load(snapshot: ConfigSnapshot): boolean {
        if (snapshot.offset <= this.lastOffset) {
            return false;
        }
        for (const kind of configKinds) {
            this.objects.get(kind)?.clear();
        }
        this.owners.clear();
        this.deletions.clear();
        this.invalidIds.clear();
        for (const id of snapshot.invalidIds) {
            this.invalidIds.add(id);
        }
        for (const stored of snapshot.objects) {
            this.store(stored);
        }
        for (const { kind, name, revision } of snapshot.deletions) {
            this.deletions.set(formatObjectId(kind, name), revision);
        }
        this.deletionFloor = snapshot.deletionFloor;
        this.lastOffset = snapshot.offset;
        this.cachedView = undefined;
        return true;
    }

    private isStale(operation: Operation): boolean {
        const { kind, name } = getTarget(operation);
        return this.getLastChangeOffset(kind, name) > (operation.readRevision ?? -1);
    }

    /**
     * Offset of the last change or deletion of an object. Without either, it is the deletion floor, as the object may have been deleted
     * at any offset up to there; -1 if there is no floor.
     */
    private getLastChangeOffset(kind: ConfigKind, name: string): number {
        return this.objects.get(kind)?.get(name)?.revision ?? this.deletions.get(formatObjectId(kind, name)) ?? this.deletionFloor;
    }

    private findViolation(operations: readonly Operation[]): string | undefined {
        const changedObjects = new Map<string, ConfigObject | undefined>();
        for (const operation of operations) {
            const { kind, name } = getTarget(operation);
            const id = formatObjectId(kind, name);
            if (changedObjects.has(id)) {
                return `${kind} "${name}" is the target of more than one operation; change each object only once`;
            }
            if (operation.op === "delete" && !this.objects.get(kind)?.has(name)) {
                return `${kind} "${name}" does not exist; remove the operation that deletes it`;
            }
            changedObjects.set(id, operation.op === "put" ? operation.object : undefined);
        }
        return findConstraintViolation({
            changedObjects: [...changedObjects].map(([id, object]) => ({ ...parseObjectId(id), object })),
            get: (kind, name) =>
                changedObjects.has(formatObjectId(kind, name))
                    ? changedObjects.get(formatObjectId(kind, name))
                    : this.objects.get(kind)?.get(name)?.object,
            all: kind => this.listObjectsAfterChange(kind, changedObjects),
            findOtherOwner: (object, uniqueName) => this.findOtherOwnerAfterChange(object, uniqueName, changedObjects),
        });
    }

    private findOtherOwnerAfterChange(
        object: ConfigObject,
        uniqueName: string,
        changedObjects: ReadonlyMap<string, ConfigObject | undefined>,
    ): string | undefined {
        const owner = this.owners.get(formatObjectId(object.kind, uniqueName));
        if (owner !== undefined && owner !== object.value.name && !changedObjects.has(formatObjectId(object.kind, owner))) {
            return owner;
        }
        for (const otherObject of changedObjects.values()) {
            if (
                otherObject?.kind === object.kind && otherObject.value.name !== object.value.name &&
                listUniqueNames(otherObject).includes(uniqueName)
            ) {
                return otherObject.value.name;
            }
        }
        return undefined;
    }

    private *listObjectsAfterChange(
        kind: ConfigKind,
        changedObjects: ReadonlyMap<string, ConfigObject | undefined>,
    ): Iterable<ConfigObject> {
        for (const [name, stored] of this.objects.get(kind) ?? []) {
            if (!changedObjects.has(formatObjectId(kind, name))) {
                yield stored.object;
            }
        }
        for (const object of changedObjects.values()) {
            if (object?.kind === kind) {
                yield object;
            }
        }
    }

    private applyOperation(operation: Operation, offset: number): void {
        const { kind, name } = getTarget(operation);
        const id = formatObjectId(kind, name);
        this.deletions.delete(id);
        this.remove(kind, name);
        if (operation.op === "put") {
            this.store({ object: operation.object, revision: offset });
            return;
        }
        this.deletions.set(id, offset);
        this.evictOldestDeletions();
    }

    private store(stored: StoredConfigObject): void {
        const { kind, value } = stored.object;
        this.objects.get(kind)?.set(value.name, stored);
        for (const uniqueName of listUniqueNames(stored.object)) {
            this.owners.set(formatObjectId(kind, uniqueName), value.name);
        }
    }

    /** Removes an object and releases its unique names, except those that another object of the same change already owns. */
    private remove(kind: ConfigKind, name: string): void {
        const stored = this.objects.get(kind)?.get(name);
        this.objects.get(kind)?.delete(name);
        for (const uniqueName of stored === undefined ? [] : listUniqueNames(stored.object)) {
            if (this.owners.get(formatObjectId(kind, uniqueName)) === name) {
                this.owners.delete(formatObjectId(kind, uniqueName));
            }
        }
    }

    private recordInvalidChange(changeId: string, verdict: ConfigFoldResult["verdict"]): void {
        if (verdict !== "invalid") {
            return;
        }
        this.invalidIds.add(changeId);
        const [oldest] = this.invalidIds;
        if (this.invalidIds.size > maxInvalidChangeIds && oldest !== undefined) {
            this.invalidIds.delete(oldest);
        }
    }

    private evictOldestDeletions(): void {
        for (const [id, revision] of this.deletions) {
            if (this.deletions.size <= maxDeletions) {
                return;
            }
            this.deletions.delete(id);
            this.deletionFloor = Math.max(this.deletionFloor, revision);
        }
    }

    /** Values of all objects of a kind by name. `T` must be the value type of `kind`. */
    private collectValues<T>(kind: ConfigKind): ReadonlyMap<string, T> {
        const values = new Map<string, T>();
        for (const [name, stored] of this.objects.get(kind) ?? []) {
            values.set(name, stored.object.value as T);
        }
        return values;
    }
}

function getTarget(operation: Operation): { kind: ConfigKind; name: string; } {
    return operation.op === "put"
        ? { kind: operation.object.kind, name: operation.object.value.name }
        : { kind: operation.kind, name: operation.name };
}

function formatObjectId(kind: ConfigKind, name: string): string {
    return `${kind}/${name}`;
}

function parseObjectId(id: string): { kind: ConfigKind; name: string; } {
    const separator = id.indexOf("/");
    return { kind: id.slice(0, separator) as ConfigKind, name: id.slice(separator + 1) };
}

function compareStrings(left: string, right: string): number {
    return left < right ? -1 : left > right ? 1 : 0;
}
