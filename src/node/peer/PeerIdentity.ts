/** Who a VM is towards its peers. */
export interface PeerIdentity {
    readonly vm: string;
    /** Differs for each start of a VM; of two incarnations of one VM the greater string is the newer. */
    readonly incarnation: string;
}
