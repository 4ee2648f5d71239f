import type { ConfigView } from "../../core/config/ConfigView.js";
import type { ConfigKind } from "../../schema/config/ConfigKind.js";
import type { ConfigObject } from "../../schema/config/ConfigObject.js";

/** Lists the objects of a view, of one kind or (with undefined) of all kinds, sorted by kind and name. */
export function listConfigObjects(view: ConfigView, kind: ConfigKind | undefined): ConfigObject[] {
    const all: ConfigObject[] = [
        ...[...view.serviceClasses.values()].map(value => ({ kind: "serviceClass" as const, value })),
        ...[...view.customers.values()].map(value => ({ kind: "customer" as const, value })),
        ...[...view.pools.values()].map(value => ({ kind: "pool" as const, value })),
        ...[...view.pathShares.values()].map(value => ({ kind: "pathShare" as const, value })),
    ];
    return all.filter(object => kind === undefined || object.kind === kind)
        .sort((left, right) => compareStrings(left.kind, right.kind) || compareStrings(left.value.name, right.value.name));
}

function compareStrings(left: string, right: string): number {
    return left < right ? -1 : left > right ? 1 : 0;
}
