import { createClient, type Interceptor } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { objectToProto } from "../../node/operator/objectToProto.js";
import { ApplyStatus, OperatorService } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import type { EmbeddedFleet } from "./EmbeddedFleet.js";
import { exampleObjects } from "./exampleObjects.js";

const waitMs = 10_000;

/** Applies the example configuration through the operator RPC of the first VM. Resolves when it is in force in every zone. */
export async function applyExample(fleet: EmbeddedFleet): Promise<void> {
    const [vm] = fleet.vms;
    const withToken: Interceptor = next => request => {
        request.header.set("authorization", `Bearer ${fleet.operatorToken}`);
        return next(request);
    };
    const transport = createConnectTransport({ baseUrl: vm?.operatorUrl ?? "", httpVersion: "1.1", interceptors: [withToken] });
    const operations = exampleObjects(fleet.standins).map(object => ({
        operation: { case: "put" as const, value: objectToProto(object) },
    }));
    const answer = await createClient(OperatorService, transport).apply({ author: "quickstart", operations, waitMs });
    if (answer.status !== ApplyStatus.ACCEPTED) {
        throw new Error(`the example configuration is not in force yet in ${answer.pendingZones.join(", ")}; run the quickstart again`);
    }
}
