/** Membership traffic per VM and second at one fleet size. Byte counts cover encoded frames with their WebSocket headers. */
export interface TrafficFigures {
    readonly memberCount: number;
    readonly zoneCount: number;
    /** Bytes sent and received, mean over all VMs. */
    readonly bytesPerSecond: number;
    /** Bytes sent and received by the VM with the most traffic. */
    readonly worstBytesPerSecond: number;
    readonly messagesPerSecond: number;
    /** Mean over all VMs, including 40 bytes of TCP and IP headers per message. */
    readonly wireBytesPerSecond: number;
    /** Elapsed time of the simulation, including the encoding of messages, in microseconds per VM and second of virtual time. */
    readonly decisionMicroseconds: number;
}
