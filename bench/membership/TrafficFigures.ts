/** Membership traffic of one fleet size, a VM and second. Bytes are those of encoded frames and their WebSocket headers. */
export interface TrafficFigures {
    readonly memberCount: number;
    readonly zoneCount: number;
    /** Sent and received, mean over all VMs. */
    readonly bytesPerSecond: number;
    /** Of the VM that sends and receives most. */
    readonly worstBytesPerSecond: number;
    readonly messagesPerSecond: number;
    /** Mean with 40 bytes of TCP and IP headers for each message. */
    readonly wireBytesPerSecond: number;
    /** Processor time of the decisions, microseconds a VM and second of virtual time. */
    readonly decisionMicroseconds: number;
}
