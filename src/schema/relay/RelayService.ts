import type { ServiceScaling } from "./ServiceScaling.js";

/** A service whose upstreams receive relayed calls. */
export interface RelayService {
    readonly name: string;
    /** Maximum number of connections that an upstream accepts from all VMs together. */
    readonly maxConnections: number;
    /** Slots and memory, in tokens, of each language-model engine; undefined for a plain service. */
    readonly engine: { readonly slots: number; readonly memoryTokens: number; } | undefined;
    /** Undefined if the number of its upstreams is not up to the fleet. */
    readonly scaling: ServiceScaling | undefined;
}
