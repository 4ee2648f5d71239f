import type { StandinUrls } from "./StandinUrls.js";

/** URLs and operator token of a fleet on loopback addresses. */
export interface FleetOperatorAccess {
    readonly vms: readonly { readonly operatorUrl: string; }[];
    readonly standins: StandinUrls;
    readonly operatorToken: string;
}
