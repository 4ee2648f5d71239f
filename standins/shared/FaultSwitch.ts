import type { Fault } from "./Fault.js";

interface ActiveFault {
    readonly fault: Fault;
    readonly untilMs: number;
    strikesLeft: number;
}

/** The faults now switched on in a stand-in. */
export class FaultSwitch {
    private readonly active = new Map<Fault["kind"], ActiveFault>();

    constructor(private readonly nowMs: () => number = () => performance.now()) {}

    /** Switches a fault on; `none` switches all off. */
    set(fault: Fault): void {
        if (fault.kind === "none") {
            this.active.clear();
            return;
        }
        const untilMs = fault.durationMs === undefined ? Infinity : this.nowMs() + fault.durationMs;
        this.active.set(fault.kind, { fault, untilMs, strikesLeft: fault.times ?? Infinity });
    }

    /** The fault of this kind when it is on; does not count as a strike. */
    peek(kind: Fault["kind"]): Fault | undefined {
        const found = this.active.get(kind);
        if (found === undefined) {
            return undefined;
        }
        if (found.strikesLeft <= 0 || found.untilMs <= this.nowMs()) {
            this.active.delete(kind);
            return undefined;
        }
        return found.fault;
    }

    /** Like `peek`, and uses up one of the fault's strikes. */
    strike(kind: Fault["kind"]): Fault | undefined {
        const fault = this.peek(kind);
        const found = this.active.get(kind);
        if (fault !== undefined && found !== undefined) {
            found.strikesLeft--;
        }
        return fault;
    }
}
