import type { DecisionEvent } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { createFleetOperatorClient } from "./createFleetOperatorClient.js";
import type { EmbeddedFleet } from "./EmbeddedFleet.js";
import type { ExampleCall } from "./ExampleCall.js";

/** Adds to each call its path and upstream, taken from the decisions that `explain` returns for it. */
export function addCallRoutes(fleet: EmbeddedFleet, calls: readonly ExampleCall[]): Promise<ExampleCall[]> {
    const client = createFleetOperatorClient(fleet);
    return Promise.all(calls.map(async call => {
        const { events } = await client.explain({ query: { case: "requestId", value: call.requestId } });
        return { ...call, path: findLastFact(events, "path"), upstream: findLastFact(events, "upstream") };
    }));
}

function findLastFact(events: readonly DecisionEvent[], name: string): string {
    const values = events.map(event => event.facts[name]?.value).filter(value => value?.case === "text");
    return String(values.at(-1)?.value ?? "-");
}
