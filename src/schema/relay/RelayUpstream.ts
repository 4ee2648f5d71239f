/** Self-description of an upstream. */
export interface RelayUpstream {
    /** Usually changes with each start, but this is not guaranteed. */
    readonly id: string;
    readonly service: string;
    /** `HOST:PORT`. */
    readonly address: string;
    readonly availabilityZone: string;
    readonly slots: number;
    readonly isDraining: boolean;
    /** Whether the platform may take the upstream away at short notice; such upstreams cost less. */
    readonly isReclaimable: boolean;
    /** Start time in milliseconds since the epoch, on the upstream's clock; detects a restart under the same id. 0 if the upstream does not state it. */
    readonly startedWallMs: number;
    /** Counts the entries that the upstream has written since its start: of two entries, the one with the higher revision is newer. */
    readonly revision: number;
}
