/** A service whose upstreams take relayed calls. */
export interface RelayService {
    readonly name: string;
    /** Most connections that one upstream accepts from all VMs together. */
    readonly maxConnections: number;
    /** Language-model engines; undefined for a plain service. */
    readonly engine: { readonly slots: number; readonly memoryTokens: number; } | undefined;
}
