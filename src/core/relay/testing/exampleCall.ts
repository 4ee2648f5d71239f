import type { RelayCall } from "../../../schema/relay/RelayCall.js";

/** A call for tests; fields that matter are given. */
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
