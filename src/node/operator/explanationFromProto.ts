import { DecisionEvent } from "../../schema/explain/DecisionEvent.js";
import type { Explanation } from "../../schema/explain/Explanation.js";
import type { ExplainResponse } from "../../schema/generated/orioleshelf/v1/operator_pb.js";

/** Converts the response of an Explain call. Skips events whose kind of decision this version does not know. */
export function explanationFromProto(message: ExplainResponse): Explanation {
    return {
        events: message.events.flatMap(event => {
            const facts = Object.fromEntries(Object.entries(event.facts).map(([name, fact]) => [name, fact.value.value ?? ""]));
            const parsed = DecisionEvent.safeParse({ ...event, facts });
            return parsed.success ? [parsed.data] : [];
        }),
        reasons: message.reasons.map(({ reason, count, exampleRequestIds }) => ({ reason, count, exampleRequestIds })),
        askedVms: message.askedVms,
        silentVms: message.silentVms,
        held: message.held.map(({ vm, availabilityZone, configOffset, sinceAtMs }) => ({
            vm,
            availabilityZone,
            configOffset: Number(configOffset),
            sinceAtMs,
        })),
    };
}
