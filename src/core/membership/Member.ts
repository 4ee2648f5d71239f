/** One VM of the fleet in the view of the local VM. */
export interface Member {
    readonly vm: string;
    /** Changes with every start of the VM, even under the same id and address; higher values are newer. */
    readonly incarnation: string;
    readonly availabilityZone: string;
    readonly region: string;
    readonly peerUrl: string;
    /** Processor time that the VM may use, in cores. */
    readonly processorShare: number;
    readonly state: "ready" | "starting" | "draining";
    /** Offset of the configuration in force on the VM; for a VM of another zone, the lowest offset of that zone. -1 if unknown. */
    readonly configOffset: number;
}
