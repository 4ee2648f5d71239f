/** Number of upstreams of one kind that are to run in an availability zone. */
export interface ScalingOrder {
    readonly availabilityZone: string;
    readonly isReclaimable: boolean;
    readonly count: number;
}
