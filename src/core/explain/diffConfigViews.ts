import type { ConfigObject } from "../../schema/config/ConfigObject.js";
import type { Pool } from "../../schema/config/Pool.js";
import type { ConfigView } from "../config/ConfigView.js";
import type { EventDraft } from "./EventDraft.js";

type ObjectsByName = ReadonlyMap<string, ConfigObject["value"]>;

/** Events for the differences between two configuration views. Objects are compared by identity, which unchanged ones keep. */
export function diffConfigViews(before: ConfigView, after: ConfigView): EventDraft[] {
    return [
        ...diffObjects("serviceClass", before.serviceClasses, after.serviceClasses, after.offset),
        ...diffObjects("customer", before.customers, after.customers, after.offset),
        ...diffObjects("pool", before.pools, after.pools, after.offset),
        ...diffObjects("pathShare", before.pathShares, after.pathShares, after.offset),
        ...[...after.pools.values()].flatMap(pool => diffLeavingUpstreams(before.pools.get(pool.name), pool)),
    ];
}

function diffObjects(kind: ConfigObject["kind"], before: ObjectsByName, after: ObjectsByName, offset: number): EventDraft[] {
    const put = [...after].filter(([name, value]) => before.get(name) !== value).map(([name]) => ({ name, change: "put" }));
    const deleted = [...before.keys()].filter(name => !after.has(name)).map(name => ({ name, change: "deleted" }));
    return [...put, ...deleted].map(({ name, change }) => ({ kind: "config", subject: `${kind} ${name}`, facts: { change, offset } }));
}

function diffLeavingUpstreams(before: Pool | undefined, after: Pool): EventDraft[] {
    const wasLeaving = new Set(before?.upstreams.filter(upstream => upstream.leaving).map(upstream => upstream.id));
    return after.upstreams.filter(upstream => upstream.leaving !== wasLeaving.has(upstream.id))
        .map(({ id, leaving }) => ({ kind: "upstream", subject: id, facts: { pool: after.name, leaving } }));
}
