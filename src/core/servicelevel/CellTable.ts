import type { ServiceLevelCell } from "../../schema/report/ServiceLevelCell.js";
import { CellCounter } from "./CellCounter.js";

/** Cell counters by service class and path. */
export class CellTable {
    private readonly cells = new Map<string, CellCounter>();

    get size(): number {
        return this.cells.size;
    }

    getOrCreateCell(serviceClass: string, path: "old" | "new"): CellCounter {
        const name = `${path}/${serviceClass}`;
        const existing = this.cells.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const cell = new CellCounter(serviceClass, path);
        this.cells.set(name, cell);
        return cell;
    }

    merge(cell: ServiceLevelCell): void {
        this.getOrCreateCell(cell.serviceClass, cell.path).merge(cell);
    }

    values(): Iterable<CellCounter> {
        return this.cells.values();
    }

    toCells(): ServiceLevelCell[] {
        return [...this.cells.values()].map(cell => cell.toCell());
    }
}
