/** An invariant that a history violates, with the details for the failure message. */
export interface Violation {
    readonly invariant: string;
    readonly detail: string;
}
