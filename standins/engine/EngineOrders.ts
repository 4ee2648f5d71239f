import type { EngineOrder } from "../../src/schema/orders/EngineOrder.js";
import type { EngineReport } from "../../src/schema/orders/EngineReport.js";
import { delay } from "../shared/delay.js";

type ModelReport = EngineReport["models"][number];

/** What an engine has loaded, its role, and the orders that it obeyed. */
export class EngineOrders {
    readonly obeyed: EngineOrder[] = [];
    private models: ModelReport[];
    private role: EngineReport["role"] = "both";
    private highestFencing = -1;

    constructor(models: readonly string[], private readonly checksFencing: boolean, private readonly loadMs: number) {
        this.models = models.map(model => ({ model, version: "1", state: "ready" }));
    }

    serves(model: string): boolean {
        return this.models.some(loaded => loaded.state === "ready" && (loaded.model === model || loaded.adapter === model));
    }

    get report(): EngineReport {
        return { models: this.models, role: this.role, fencingNumber: this.checksFencing ? this.highestFencing : -1 };
    }

    /** Takes an order; a load goes on after the answer. An old fencing number is refused when the engine checks it. */
    obey(order: EngineOrder): "obeyed" | "old-fencing" {
        if (this.checksFencing && order.fencingNumber < this.highestFencing) {
            return "old-fencing";
        }
        this.highestFencing = Math.max(this.highestFencing, order.fencingNumber);
        if (this.obeyed.some(earlier => earlier.orderId === order.orderId)) {
            return "obeyed";
        }
        this.obeyed.push(order);
        if (order.action === "role") {
            this.role = order.role;
        }
        else if (order.action === "unload") {
            this.models = this.models.filter(loaded => !isSame(loaded, order));
        }
        else if (!this.models.some(loaded => isSame(loaded, order))) {
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

function isSame(loaded: ModelReport, order: EngineOrder): boolean {
    return loaded.model === order.model && loaded.version === order.version && loaded.adapter === order.adapter;
}
