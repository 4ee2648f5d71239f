import type { ExplainQuery } from "../../schema/explain/ExplainQuery.js";
import type { ExplainRequest } from "../../schema/generated/orioleshelf/v1/operator_pb.js";

const defaultSinceMs = 3_600_000;

/** Converts the query of an Explain call; returns undefined when none of its fields is set. */
export function explainQueryFromProto({ query }: ExplainRequest): ExplainQuery | undefined {
    switch (query.case) {
        case "requestId":
            return { type: "request", requestId: query.value };
        case "serviceClass":
            return { type: "class", serviceClass: query.value.name, sinceMs: query.value.sinceMs ?? defaultSinceMs };
        case "vm":
            return { type: "vm", vm: query.value };
        case "config":
            return { type: "config" };
        default:
            return undefined;
    }
}
