import { delay } from "../shared/delay.js";
import type { EngineOrder } from "./EngineOrder.js";

interface LoadedModel {
    readonly model: string;
    readonly version: string;
    readonly adapter: string | undefined;
}

/** What an engine has loaded, its role, and the orders that it obeyed. */
export class EngineOrders {
    readonly obeyed: EngineOrder[] = [];
    private loaded: LoadedModel[];
    private role: "prefill" | "decode" | "both" = "both";
    private highestFencing = -1;
    private loadsRunning = 0;

    constructor(models: readonly string[], private readonly checksFencing: boolean, private readonly loadMs: number) {
        this.loaded = models.map(model => ({ model, version: "1", adapter: undefined }));
    }

    serves(model: string): boolean {
        return this.loaded.some(loaded => loaded.model === model || loaded.adapter === model);
    }

    get state(): { loaded: readonly LoadedModel[]; role: string; loadsRunning: number; highestFencing: number; } {
        return { loaded: this.loaded, role: this.role, loadsRunning: this.loadsRunning, highestFencing: this.highestFencing };
    }

    /** Obeys an order; resolves when it has taken effect. An old fencing number is refused when the engine checks it. */
    async obey(order: EngineOrder): Promise<"obeyed" | "old-fencing"> {
        if (this.checksFencing && order.fencing < this.highestFencing) {
            return "old-fencing";
        }
        this.highestFencing = Math.max(this.highestFencing, order.fencing);
        this.obeyed.push(order);
        if (order.kind === "change-role") {
            this.role = order.role ?? this.role;
        }
        else if (order.kind === "unload") {
            this.loaded = this.loaded.filter(loaded => !isSame(loaded, order));
        }
        else {
            await this.load(order);
        }
        return "obeyed";
    }

    private async load(order: EngineOrder): Promise<void> {
        this.loadsRunning++;
        await delay(this.loadMs);
        this.loadsRunning--;
        if (!this.loaded.some(loaded => isSame(loaded, order))) {
            this.loaded.push({ model: order.model ?? "", version: order.version ?? "1", adapter: order.adapter });
        }
    }
}

function isSame(loaded: LoadedModel, order: EngineOrder): boolean {
    return loaded.model === order.model && loaded.version === (order.version ?? loaded.version) && loaded.adapter === order.adapter;
}
