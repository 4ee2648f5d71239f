/** Identity that a VM presents to its peers. */
export interface PeerIdentity {
    readonly vm: string;
    /** Differs for each start of a VM; the newer of two incarnations is the one that sorts last as a string. */
    readonly incarnation: string;
}
