/** Ports of one VM on the loopback interface. */
export interface SoakPorts {
    readonly caller: number;
    readonly probe: number;
    readonly peer: number;
    readonly metrics: number;
}
