/** One VM of the fleet as seen from here. */
export interface Member {
    readonly vm: string;
    /** Differs for each start of a VM, also under the same id and address. */
    readonly incarnation: string;
    readonly availabilityZone: string;
    readonly region: string;
    readonly peerUrl: string;
    readonly state: "ready" | "starting" | "draining";
    /** Offset of the configuration in force there. */
    readonly configOffset: number;
}
