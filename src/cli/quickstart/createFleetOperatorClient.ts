import { type Client, createClient, type Interceptor } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { OperatorService } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import type { FleetOperatorAccess } from "./FleetOperatorAccess.js";

/** Creates a client of the operator RPC of the first VM. */
export function createFleetOperatorClient(fleet: FleetOperatorAccess): Client<typeof OperatorService> {
    const withToken: Interceptor = next => request => {
        request.header.set("authorization", `Bearer ${fleet.operatorToken}`);
        return next(request);
    };
    const baseUrl = fleet.vms[0]?.operatorUrl ?? "";
    return createClient(OperatorService, createConnectTransport({ baseUrl, httpVersion: "1.1", interceptors: [withToken] }));
}
