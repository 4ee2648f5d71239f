import type { EngineOrder } from "../../src/schema/orders/EngineOrder.js";
import type { EngineReport } from "../../src/schema/orders/EngineReport.js";
import { delay } from "../shared/delay.js";

type ModelReport = EngineReport["models"][number];

/** The models that an engine has loaded, its role, and the orders that it applied. */
export class EngineOrders {
    readonly obeyed: EngineOrder[] = [];
    private models: ModelReport[];
    private role: EngineReport["role"] = "both";
    private highestFencingNumber = -1;

    constructor(models: readonly string[], private readonly checksFencing: boolean, private readonly loadMs: number) {
        this.models = models.map(model => ({ model, version: "1", state: "ready" }));
    }

    serves(model: string): boolean {
        return this.models.some(loaded => loaded.state === "ready" && (loaded.model === model || loaded.adapter === model));
    }

    get report(): EngineReport {
        return { models: this.models, role: this.role, fencingNumber: this.checksFencing ? this.highestFencingNumber : -1 };
    }

    /**
     * Applies an order once by its `orderId`; a load continues in the background. If the engine checks fencing numbers, an order with a
     * lower number than the highest seen is rejected.
     */
    apply(order: EngineOrder): "obeyed" | "old-fencing" {
        if (this.checksFencing && order.fencingNumber < this.highestFencingNumber) {
            return "old-fencing";
        }
        this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencingNumber);
        if (this.obeyed.some(earlier => earlier.orderId === order.orderId)) {
            return "obeyed";
        }
        this.obeyed.push(order);
        if (order.action === "role") {
            this.role = order.role;
        }
        else if (order.action === "unload") {
            this.models = this.models.filter(loaded => !matchesOrder(loaded, order));
        }
        else if (!this.models.some(loaded => matchesOrder(loaded, order))) {
            void this.load(order);
        }
        return "obeyed";
    }

    private async load({ model, version, adapter }: EngineOrder): Promise<void> {
        const loading: ModelReport = { model, version, adapter, state: "loading" };
        this.models = [...this.models, loading];
        await delay(this.loadMs);
        this.models = this.models.map(loaded => (loaded === loading ? { ...loading, state: "ready" } : loaded));
    }
}

function matchesOrder(loaded: ModelReport, order: EngineOrder): boolean {
    return loaded.model === order.model && loaded.version === order.version && loaded.adapter === order.adapter;
}
