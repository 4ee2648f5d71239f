/** Incarnation of a VM that owns the claims it has appended. */
export interface ClaimOwner {
    readonly vm: string;
    readonly incarnation: string;
}
