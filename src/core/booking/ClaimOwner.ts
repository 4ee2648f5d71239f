/** One incarnation of a VM, which owns the claims it appended. */
export interface ClaimOwner {
    readonly vm: string;
    readonly incarnation: string;
}
