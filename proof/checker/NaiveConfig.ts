interface NaiveObject {
    readonly kind: string;
    readonly value: { readonly name: string; readonly classes?: readonly string[]; readonly serviceClass?: string; };
}

interface NaiveOperation {
    readonly op: "put" | "delete";
    readonly object?: NaiveObject;
    readonly kind?: string;
    readonly name?: string;
    readonly readRevision?: number;
}

interface NaiveChange {
    readonly type: string;
    readonly formatVersion: number;
    readonly changeId: string;
    readonly author: string;
    readonly operations: readonly NaiveOperation[];
}

/** Reference fold of the configuration stream that copies its state for each record; shares no code with `ConfigFold`. */
export class NaiveConfig {
    /** JSON of all objects after each offset. */
    readonly contents: string[] = [];
    /** Offsets at which changes were applied, by author. */
    readonly applied = new Map<string, number[]>();
    private readonly seenChangeIds = new Set<string>();
    private objects: Record<string, NaiveObject | undefined> = {};
    private changedAtOffsets: Record<string, number> = {};

    fold(offset: number, payload: Uint8Array): void {
        const change = parse(payload);
        const isNew = change !== undefined && !this.seenChangeIds.has(change.changeId);
        this.seenChangeIds.add(change?.changeId ?? "");
        if (isNew && this.apply(change, offset)) {
            this.applied.set(change.author, [...this.applied.get(change.author) ?? [], offset]);
        }
        this.contents[offset] = contentOf(this.objects);
    }

    private apply(change: NaiveChange, offset: number): boolean {
        const objects = { ...this.objects };
        const changedAtOffsets = { ...this.changedAtOffsets };
        for (const operation of change.operations) {
            const id = `${operation.object?.kind ?? operation.kind}/${operation.object?.value.name ?? operation.name}`;
            if ((operation.readRevision ?? -1) >= offset) {
                return false;
            }
            if ((this.changedAtOffsets[id] ?? -1) > (operation.readRevision ?? -1) || changedAtOffsets[id] === offset) {
                return false;
            }
            if (operation.op === "delete" && objects[id] === undefined) {
                return false;
            }
            changedAtOffsets[id] = offset;
            objects[id] = operation.object;
        }
        if (!hasValidReferences(objects)) {
            return false;
        }
        this.objects = objects;
        this.changedAtOffsets = changedAtOffsets;
        return true;
    }
}

function hasValidReferences(objects: Readonly<Record<string, NaiveObject | undefined>>): boolean {
    return Object.values(objects).every(object => {
        const sharedClass = object?.value.serviceClass;
        const classes = [...object?.value.classes ?? [], ...sharedClass === undefined ? [] : [sharedClass]];
        return classes.every(name => objects[`serviceClass/${name}`] !== undefined);
    });
}

function contentOf(objects: Readonly<Record<string, NaiveObject | undefined>>): string {
    const ids = Object.keys(objects).filter(id => objects[id] !== undefined);
    return JSON.stringify(ids.sort().map(id => [id, objects[id]?.value]));
}

function parse(payload: Uint8Array): NaiveChange | undefined {
    try {
        const change = JSON.parse(new TextDecoder().decode(payload)) as NaiveChange;
        return change.type === "change" && change.formatVersion === 1 ? change : undefined;
    }
    catch {
        return undefined;
    }
}
