import type { EngineOrder } from "../../schema/orders/EngineOrder.js";

/** An order for one engine, without the fencing number and order id, which the sender adds. */
export interface PlannedOrder {
    readonly engineId: string;
    readonly order: Omit<EngineOrder, "fencingNumber" | "orderId">;
}
