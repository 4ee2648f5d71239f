import { objectToProto } from "../../node/operator/objectToProto.js";
import { ApplyStatus } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { createExampleConfig } from "./createExampleConfig.js";
import { createFleetOperatorClient } from "./createFleetOperatorClient.js";
import type { FleetOperatorAccess } from "./FleetOperatorAccess.js";

const waitMs = 10_000;

/** Applies the example configuration through the operator RPC of the first VM; resolves when it is in force in every availability zone. */
export async function applyExampleConfig(fleet: FleetOperatorAccess): Promise<void> {
    const operations = createExampleConfig(fleet.standins).map(object => ({
        operation: { case: "put" as const, value: objectToProto(object) },
    }));
    const answer = await createFleetOperatorClient(fleet).apply({ author: "quickstart", operations, waitMs });
    if (answer.status !== ApplyStatus.ACCEPTED) {
        throw new Error(`the example configuration is not yet in force in ${answer.pendingZones.join(", ")}; run the quickstart again`);
    }
}
