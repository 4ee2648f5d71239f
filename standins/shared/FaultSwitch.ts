import type { Fault } from "./Fault.js";

interface ActiveFault {
    readonly fault: Fault;
    readonly untilMs: number;
    strikesLeft: number;
}

/** The faults that are active in a stand-in, at most one of each kind. */
export class FaultSwitch {
    private readonly active = new Map<Fault["kind"], ActiveFault>();

    constructor(private readonly nowMs: () => number = () => performance.now()) {}

    /** Activates a fault, replacing one of the same kind; `none` clears all faults. */
    set(fault: Fault): void {
        if (fault.kind === "none") {
            this.active.clear();
            return;
        }
        const untilMs = fault.durationMs === undefined ? Infinity : this.nowMs() + fault.durationMs;
        this.active.set(fault.kind, { fault, untilMs, strikesLeft: fault.times ?? Infinity });
    }

    /** The active fault of this kind, if any, without consuming one of its `times`. */
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

    /** Like `peek`, and consumes one of the fault's `times`. */
    consume(kind: Fault["kind"]): Fault | undefined {
        const fault = this.peek(kind);
        const found = this.active.get(kind);
        if (fault !== undefined && found !== undefined) {
            found.strikesLeft--;
        }
        return fault;
    }
}
