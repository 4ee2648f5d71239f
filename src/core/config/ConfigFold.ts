import type { ConfigChange } from "../../schema/config/ConfigChange.js";
import type { ConfigKind } from "../../schema/config/ConfigKind.js";
import type { ConfigObject } from "../../schema/config/ConfigObject.js";
import { checkReferences } from "./checkReferences.js";
import type { ConfigFoldResult } from "./ConfigFoldResult.js";
import type { ConfigSnapshot } from "./ConfigSnapshot.js";
import type { ConfigView } from "./ConfigView.js";
import { decodeConfigRecord } from "./decodeConfigRecord.js";
import { listUniqueNames } from "./listUniqueNames.js";
import type { StoredConfigObject } from "./StoredConfigObject.js";

type Operation = ConfigChange["operations"][number];

const maxDeletions = 10_000;
const maxInvalidIds = 1_000;
const refusedBefore = { verdict: "invalid", message: "the change was refused before; publish a corrected one" } as const;
const kinds: readonly ConfigKind[] = ["serviceClass", "customer", "pool", "pathShare"];

/**
 * Deterministic fold of the configuration stream. Two folds that have taken the same records hold the same state, whether they
 * began at the first record or at a snapshot. A change is applied whole or not at all.
 */
export class ConfigFold {
    private lastOffset = -1;
    private readonly objects = new Map<ConfigKind, Map<string, StoredConfigObject>>();
    /** Holder of each name that only one object of its kind may hold, by `kind/name`. */
    private readonly owners = new Map<string, string>();
    /** Offsets of deletions by `kind/name`, oldest first. */
    private readonly deletions = new Map<string, number>();
    private deletionFloor = -1;
    /**
     * Ids of the last invalid changes, oldest first. A change that was invalid once stays so when its record lands again, as its
     * author has been told. One that met a conflict needs no such memory: its read revision stays too old for good.
     */
    private readonly invalidIds = new Set<string>();
    private cachedView: ConfigView | undefined;

    constructor() {
        for (const kind of kinds) {
            this.objects.set(kind, new Map());
        }
    }

    /** Offset of the last record folded in; -1 before the first. */
    get offset(): number {
        return this.lastOffset;
    }

    /** Takes the record at `offset`, which must be above every offset taken before. */
    fold(offset: number, payload: Uint8Array): ConfigFoldResult {
        this.lastOffset = offset;
        this.cachedView = undefined;
        const decoded = decodeConfigRecord(payload);
        if (decoded.isErr()) {
            return { offset, changeId: undefined, verdict: "skipped", message: decoded.error };
        }
        const change = decoded.value;
        const refusal = this.invalidIds.has(change.changeId) ? refusedBefore : this.refuse(change, offset);
        if (refusal !== undefined) {
            this.rememberInvalid(change.changeId, refusal.verdict);
            return { offset, changeId: change.changeId, ...refusal };
        }
        for (const operation of change.operations) {
            this.perform(operation, offset);
        }
        return { offset, changeId: change.changeId, verdict: "applied", message: "" };
    }

    /** Why a change would not be applied if it stood at `offset`; undefined when it would. */
    refuse(change: Pick<ConfigChange, "operations">, offset: number): { verdict: "conflict" | "invalid"; message: string; } | undefined {
        if (change.operations.some(operation => (operation.readRevision ?? -1) >= offset)) {
            return { verdict: "invalid", message: "a read revision is not before the change itself; read the objects again" };
        }
        const conflict = change.operations.find(operation => this.isStale(operation));
        if (conflict !== undefined) {
            const { kind, name } = targetOf(conflict);
            const revision = this.changedAt(kind, name);
            return {
                verdict: "conflict",
                message: `${kind} "${name}" was changed at revision ${revision}; read it again and repeat the change`,
            };
        }
        const message = this.findInvalid(change.operations);
        return message === undefined ? undefined : { verdict: "invalid", message };
    }

    /** Revision of an object that exists. */
    getRevision(kind: string, name: string): number | undefined {
        return this.objects.get(kind as ConfigKind)?.get(name)?.revision;
    }

    /** The view as of `offset`. It does not change when more records are folded. */
    view(): ConfigView {
        this.cachedView ??= {
            offset: this.lastOffset,
            serviceClasses: this.valuesOf("serviceClass"),
            customers: this.valuesOf("customer"),
            pools: this.valuesOf("pool"),
            pathShares: this.valuesOf("pathShare"),
        };
        return this.cachedView;
    }

    /** The whole state. Objects are in a fixed order, so that equal states give equal snapshots. */
    snapshot(): ConfigSnapshot {
        const objects = kinds.flatMap(kind => {
            const stored = [...(this.objects.get(kind) ?? new Map<string, StoredConfigObject>()).values()];
            return stored.sort((left, right) => compareText(left.object.value.name, right.object.value.name));
        });
        const deletions = [...this.deletions].map(([id, revision]) => ({ ...parseId(id), revision }));
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

    /** Replaces the state by a snapshot that is ahead of it; an older one is refused, as state never moves back. */
    load(snapshot: ConfigSnapshot): boolean {
        if (snapshot.offset <= this.lastOffset) {
            return false;
        }
        for (const kind of kinds) {
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
            this.deletions.set(idOf(kind, name), revision);
        }
        this.deletionFloor = snapshot.deletionFloor;
        this.lastOffset = snapshot.offset;
        this.cachedView = undefined;
        return true;
    }

    private isStale(operation: Operation): boolean {
        const { kind, name } = targetOf(operation);
        return this.changedAt(kind, name) > (operation.readRevision ?? -1);
    }

    /** Offset of the last change or deletion of an object; -1 when it never existed. */
    private changedAt(kind: ConfigKind, name: string): number {
        return this.objects.get(kind)?.get(name)?.revision ?? this.deletions.get(idOf(kind, name)) ?? this.deletionFloor;
    }

    private findInvalid(operations: readonly Operation[]): string | undefined {
        const written = new Map<string, ConfigObject | undefined>();
        for (const operation of operations) {
            const { kind, name } = targetOf(operation);
            const id = idOf(kind, name);
            if (written.has(id)) {
                return `${kind} "${name}" is changed twice; name each object once in a change`;
            }
            if (operation.op === "delete" && !this.objects.get(kind)?.has(name)) {
                return `${kind} "${name}" does not exist; leave its deletion out`;
            }
            written.set(id, operation.op === "put" ? operation.object : undefined);
        }
        return checkReferences({
            written: [...written].map(([id, object]) => ({ ...parseId(id), object })),
            get: (kind, name) => written.has(idOf(kind, name)) ? written.get(idOf(kind, name)) : this.objects.get(kind)?.get(name)?.object,
            all: kind => this.allAfter(kind, written),
            findOtherOwner: (object, ownedName) => this.otherOwnerAfter(object, ownedName, written),
        });
    }

    private otherOwnerAfter(
        object: ConfigObject,
        ownedName: string,
        written: ReadonlyMap<string, ConfigObject | undefined>,
    ): string | undefined {
        const owner = this.owners.get(idOf(object.kind, ownedName));
        if (owner !== undefined && owner !== object.value.name && !written.has(idOf(object.kind, owner))) {
            return owner;
        }
        for (const other of written.values()) {
            if (other?.kind === object.kind && other.value.name !== object.value.name && listUniqueNames(other).includes(ownedName)) {
                return other.value.name;
            }
        }
        return undefined;
    }

    private *allAfter(kind: ConfigKind, written: ReadonlyMap<string, ConfigObject | undefined>): Iterable<ConfigObject> {
        for (const [name, stored] of this.objects.get(kind) ?? []) {
            if (!written.has(idOf(kind, name))) {
                yield stored.object;
            }
        }
        for (const object of written.values()) {
            if (object?.kind === kind) {
                yield object;
            }
        }
    }

    private perform(operation: Operation, offset: number): void {
        const { kind, name } = targetOf(operation);
        const id = idOf(kind, name);
        this.deletions.delete(id);
        this.remove(kind, name);
        if (operation.op === "put") {
            this.store({ object: operation.object, revision: offset });
            return;
        }
        this.deletions.set(id, offset);
        this.forgetDeletions();
    }

    private store(stored: StoredConfigObject): void {
        const { kind, value } = stored.object;
        this.objects.get(kind)?.set(value.name, stored);
        for (const ownedName of listUniqueNames(stored.object)) {
            this.owners.set(idOf(kind, ownedName), value.name);
        }
    }

    /** Names that another object of the same change has taken over already stay with it. */
    private remove(kind: ConfigKind, name: string): void {
        const stored = this.objects.get(kind)?.get(name);
        this.objects.get(kind)?.delete(name);
        for (const ownedName of stored === undefined ? [] : listUniqueNames(stored.object)) {
            if (this.owners.get(idOf(kind, ownedName)) === name) {
                this.owners.delete(idOf(kind, ownedName));
            }
        }
    }

    private rememberInvalid(changeId: string, verdict: ConfigFoldResult["verdict"]): void {
        if (verdict !== "invalid") {
            return;
        }
        this.invalidIds.add(changeId);
        const [oldest] = this.invalidIds;
        if (this.invalidIds.size > maxInvalidIds && oldest !== undefined) {
            this.invalidIds.delete(oldest);
        }
    }

    private forgetDeletions(): void {
        for (const [id, revision] of this.deletions) {
            if (this.deletions.size <= maxDeletions) {
                return;
            }
            this.deletions.delete(id);
            this.deletionFloor = Math.max(this.deletionFloor, revision);
        }
    }

    /** `T` is the value type that belongs to `kind`. */
    private valuesOf<T>(kind: ConfigKind): ReadonlyMap<string, T> {
        const values = new Map<string, T>();
        for (const [name, stored] of this.objects.get(kind) ?? []) {
            values.set(name, stored.object.value as T);
        }
        return values;
    }
}

function targetOf(operation: Operation): { kind: ConfigKind; name: string; } {
    return operation.op === "put"
        ? { kind: operation.object.kind, name: operation.object.value.name }
        : { kind: operation.kind, name: operation.name };
}

function idOf(kind: ConfigKind, name: string): string {
    return `${kind}/${name}`;
}

function parseId(id: string): { kind: ConfigKind; name: string; } {
    const separator = id.indexOf("/");
    return { kind: id.slice(0, separator) as ConfigKind, name: id.slice(separator + 1) };
}

function compareText(left: string, right: string): number {
    return left < right ? -1 : left > right ? 1 : 0;
}
