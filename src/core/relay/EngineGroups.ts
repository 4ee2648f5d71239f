import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";

/** Engines of one service, grouped by the length of the prompts that they serve. */
export interface EngineGroups {
    readonly short: readonly RelayUpstream[];
    readonly long: readonly RelayUpstream[];
}
