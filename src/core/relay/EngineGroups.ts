import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";

/** Engines of one service by the prompts that they take. */
export interface EngineGroups {
    readonly short: readonly RelayUpstream[];
    readonly long: readonly RelayUpstream[];
}
