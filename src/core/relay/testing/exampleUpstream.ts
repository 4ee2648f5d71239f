import type { RelayUpstream } from "../../../schema/relay/RelayUpstream.js";

/** Creates an upstream for tests; `fields` override the defaults. */
export function exampleUpstream(id: string, fields: Partial<RelayUpstream> = {}): RelayUpstream {
    return {
        id,
        service: "orders",
        address: "127.0.0.1:1",
        availabilityZone: "z1",
        slots: 6,
        isDraining: false,
        isReclaimable: false,
        startedWallMs: 0,
        revision: 0,
        ...fields,
    };
}
