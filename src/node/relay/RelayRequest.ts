import type { IncomingMessage, ServerResponse } from "node:http";
import type { RouteTable } from "../../core/relay/RouteTable.js";
import type { RelayCall } from "../../schema/relay/RelayCall.js";
import type { RelayCustomer } from "../../schema/relay/RelayCustomer.js";
import type { RelayRoute } from "../../schema/relay/RelayRoute.js";

/** A call that the configuration admits, with its body, ready to be relayed. */
export interface RelayRequest {
    readonly call: RelayCall;
    readonly incoming: IncomingMessage;
    readonly outgoing: ServerResponse;
    readonly body: Buffer | undefined;
    readonly route: RelayRoute;
    readonly customer: RelayCustomer | undefined;
    readonly tier: number;
    readonly routeTable: RouteTable;
    readonly arrivedMs: number;
    /** Aborts when the connection closes before the complete response has been written to it. */
    readonly disconnectSignal: AbortSignal;
    /** Aborts when this VM is about to exit and ends the calls that have not been answered. */
    readonly exitSignal: AbortSignal;
}
