import { err, ok, type Result } from "neverthrow";
import type { RelayCall } from "../../schema/relay/RelayCall.js";
import type { RelayCustomer } from "../../schema/relay/RelayCustomer.js";
import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import type { RouteTable } from "./RouteTable.js";

interface AdmittedRelayCall {
    readonly route: RelayRoute;
    /** Undefined when the call needs no key. */
    readonly customer: RelayCustomer | undefined;
    /** The tier of the customer if it has one, else that of the route. */
    readonly tier: number;
}

interface RelayDenial {
    readonly status: 401 | 404;
    readonly reason: "no-route" | "unknown-key";
}

/** Finds the route and the customer of a call, or returns the HTTP status and the reason for which the call is denied. */
export function admitRelayCall(table: RouteTable, call: RelayCall): Result<AdmittedRelayCall, RelayDenial> {
    const route = table.findRoute(call.host, call.path);
    if (route === undefined) {
        return err({ status: 404, reason: "no-route" });
    }
    if (route.isPublic || !table.isKeyRequired) {
        return ok({ route, customer: undefined, tier: route.tier });
    }
    const customer = call.key === undefined ? undefined : table.findCustomer(call.key);
    if (customer === undefined) {
        return err({ status: 401, reason: "unknown-key" });
    }
    return ok({ route, customer, tier: customer.tier ?? route.tier });
}
