/** One fault that a soak injects into its fleet from outside. `atMs` counts from the start of the plan, or in a history from the start of the soak. */
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
        | "store-restores"
        | "upstream-silent"
        | "upstream-one-way"
        | "upstream-resets"
        | "upstream-slow"
        | "upstream-leaves"
        | "upstream-busy"
        | "configure";
    readonly atMs: number;
    readonly durationMs: number;
    /** Index of the VM or upstream that the fault affects. */
    readonly target: number;
}
