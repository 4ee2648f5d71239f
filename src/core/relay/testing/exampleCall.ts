import type { RelayCall } from "../../../schema/relay/RelayCall.js";

/** Creates a call for tests; `fields` override the defaults. */
export function exampleCall(fields: Partial<RelayCall> = {}): RelayCall {
    return {
        requestId: "r-1",
        method: "POST",
        host: "shop.example",
        path: "/a/b",
        target: "/a/b",
        key: "key-1",
        patienceMs: 3_000,
        lastEventId: undefined,
        prompt: undefined,
        ...fields,
    };
}
