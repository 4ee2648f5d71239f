/** What a soak does to its fleet from outside, and which part it strikes. */
export interface SoakFault {
    readonly kind:
        | "kill"
        | "stop"
        | "pause"
        | "reload"
        | "store-silent"
        | "store-refuses"
        | "store-loses-answers"
        | "store-forgets"
        | "store-resets"
        | "store-slow"
        | "upstream-silent"
        | "upstream-one-way"
        | "upstream-resets"
        | "upstream-slow"
        | "upstream-leaves"
        | "configure";
    readonly atMs: number;
    readonly forMs: number;
    /** Index of the VM or the upstream that it strikes. */
    readonly target: number;
}
