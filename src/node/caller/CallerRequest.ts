import type { IncomingMessage, ServerResponse } from "node:http";
import type { ConfigView } from "../../core/config/ConfigView.js";
import type { Customer } from "../../schema/config/Customer.js";
import type { ServiceClass } from "../../schema/config/ServiceClass.js";

/** A request whose customer and class are known. */
export interface CallerRequest {
    readonly requestId: string;
    readonly incoming: IncomingMessage;
    readonly outgoing: ServerResponse;
    readonly customer: Customer;
    readonly serviceClass: ServiceClass;
    /** The configuration that holds for this request from start to end. */
    readonly view: ConfigView;
    /** Monotonic time of arrival. */
    readonly arrivedMs: number;
    /** Aborted when the caller closes its connection before the answer is whole. */
    readonly disconnectSignal: AbortSignal;
}
