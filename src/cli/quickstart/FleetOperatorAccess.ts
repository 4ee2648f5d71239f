import type { StandinUrls } from "./StandinUrls.js";

/** A fleet on loopback as its operator sees it. */
export interface FleetOperatorAccess {
    readonly vms: readonly { readonly operatorUrl: string; }[];
    readonly standins: StandinUrls;
    readonly operatorToken: string;
}
