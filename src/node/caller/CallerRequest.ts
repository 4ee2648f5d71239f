import type { IncomingMessage, ServerResponse } from "node:http";
import type { ConfigView } from "../../core/config/ConfigView.js";
import type { Customer } from "../../schema/config/Customer.js";
import type { ServiceClass } from "../../schema/config/ServiceClass.js";

/** An authenticated request with its customer and service class. */
export interface CallerRequest {
    readonly requestId: string;
    readonly incoming: IncomingMessage;
    readonly outgoing: ServerResponse;
    readonly customer: Customer;
    readonly serviceClass: ServiceClass;
    /** Configuration snapshot that this request uses from start to end. */
    readonly view: ConfigView;
    /** Time of arrival on the monotonic clock. */
    readonly arrivedMs: number;
    /** Aborted when the caller closes its connection before the response is complete. */
    readonly disconnectSignal: AbortSignal;
}
