import { fromJson, type JsonValue } from "@bufbuild/protobuf";
import type { Explanation } from "../../schema/explain/Explanation.js";
import { type ExplainResponse, ExplainResponseSchema } from "../../schema/generated/orioleshelf/v1/operator_pb.js";

/** Converts an explanation to its proto message. */
export function explanationToProto(explanation: Explanation): ExplainResponse {
    const events = explanation.events.map(event => ({
        ...event,
        facts: Object.fromEntries(Object.entries(event.facts).map(([name, value]) => [name, factToJson(value)])),
    }));
    return fromJson(ExplainResponseSchema, stripUndefined({ ...explanation, events }));
}

function factToJson(value: string | number | boolean): JsonValue {
    switch (typeof value) {
        case "string":
            return { text: value };
        case "number":
            return { number: Number.isFinite(value) ? value : String(value) };
        default:
            return { flag: value };
    }
}

/** Removes undefined values, which `fromJson` rejects. */
function stripUndefined(value: unknown): JsonValue {
    return JSON.parse(JSON.stringify(value)) as JsonValue;
}
