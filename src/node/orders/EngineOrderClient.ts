import type { ResultAsync } from "neverthrow";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { EngineOrder } from "../../schema/orders/EngineOrder.js";
import type { EngineReport } from "../../schema/orders/EngineReport.js";
import type { EngineOrderError } from "./EngineOrderError.js";

/** Client of the order API of engines. Only the implementation knows the wire format. */
export interface EngineOrderClient {
    readState(upstream: Upstream, signal: AbortSignal): ResultAsync<EngineReport, EngineOrderError>;
    send(upstream: Upstream, order: EngineOrder, signal: AbortSignal): ResultAsync<undefined, EngineOrderError>;
}
