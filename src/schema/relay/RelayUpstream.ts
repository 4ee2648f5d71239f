/** One upstream as it describes itself. */
export interface RelayUpstream {
    /** Differs for each start, mostly. */
    readonly id: string;
    readonly service: string;
    /** `HOST:PORT`. */
    readonly address: string;
    readonly availabilityZone: string;
    readonly slots: number;
    readonly isDraining: boolean;
    /** When it started, milliseconds since the epoch by its own clock; tells a restart under the same id. */
    readonly startedWallMs: number;
}
