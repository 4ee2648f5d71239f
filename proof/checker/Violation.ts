/** A promise that a history breaks. */
export interface Violation {
    readonly invariant: string;
    readonly detail: string;
}
