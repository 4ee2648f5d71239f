import type { ConfigObject } from "../../schema/config/ConfigObject.js";
import type { Pool } from "../../schema/config/Pool.js";
import type { ConfigView } from "../config/ConfigView.js";
import type { EventDraft } from "./EventDraft.js";

type Objects = ReadonlyMap<string, ConfigObject["value"]>;

/** What changed between two views of the configuration. Unchanged objects keep their identity from view to view. */
export function diffConfigViews(before: ConfigView, after: ConfigView): EventDraft[] {
    return [
        ...changes("serviceClass", before.serviceClasses, after.serviceClasses, after.offset),
        ...changes("customer", before.customers, after.customers, after.offset),
        ...changes("pool", before.pools, after.pools, after.offset),
        ...changes("pathShare", before.pathShares, after.pathShares, after.offset),
        ...[...after.pools.values()].flatMap(pool => leavingChanges(before.pools.get(pool.name), pool)),
    ];
}

function changes(kind: ConfigObject["kind"], before: Objects, after: Objects, offset: number): EventDraft[] {
    const put = [...after].filter(([name, value]) => before.get(name) !== value).map(([name]) => ({ name, change: "put" }));
    const deleted = [...before.keys()].filter(name => !after.has(name)).map(name => ({ name, change: "deleted" }));
    return [...put, ...deleted].map(({ name, change }) => ({ kind: "config", subject: `${kind} ${name}`, facts: { change, offset } }));
}

function leavingChanges(before: Pool | undefined, after: Pool): EventDraft[] {
    const wasLeaving = new Set(before?.upstreams.filter(upstream => upstream.leaving).map(upstream => upstream.id));
    return after.upstreams.filter(upstream => upstream.leaving !== wasLeaving.has(upstream.id))
        .map(({ id, leaving }) => ({ kind: "upstream", subject: id, facts: { pool: after.name, leaving } }));
}
