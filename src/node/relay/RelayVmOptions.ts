import type { Result } from "neverthrow";
import type { RelayConfig } from "../../schema/relay/RelayConfig.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import type { KeyedLog } from "../services/KeyedLog.js";
import type { RelayDialect } from "./RelayDialect.js";
import type { VmRegistry } from "./VmRegistry.js";

interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** What a VM that relays calls is told at its start. */
export interface RelayVmOptions {
    readonly vm: string;
    readonly availabilityZone: string;
    readonly region: string;
    readonly listen: {
        readonly caller: ListenAddress;
        readonly probe: ListenAddress;
        readonly peer: ListenAddress;
        readonly metrics: ListenAddress;
    };
    /** Path at which the platform asks whether this VM takes callers. */
    readonly readyPath: string;
    /** Peer URLs of a few VMs. */
    readonly seeds: readonly string[];
    /** Known to all VMs of the fleet and to nobody else. */
    readonly peerKey: string;
    readonly dialect: RelayDialect;
    readonly config: {
        readonly source: KeyedLog;
        /** Key under which the configuration lies; other keys of the stream are ignored. */
        readonly key: string;
        readonly decode: (value: Uint8Array) => Result<RelayConfig, string>;
    };
    readonly upstreams: {
        readonly source: KeyedLog;
        readonly decode: (id: string, value: Uint8Array) => Result<RelayUpstream, string>;
    };
    readonly registry: VmRegistry;
    /** Sends beyond the first of each call that all VMs together may make to one service. */
    readonly retries: { readonly perCall: number; readonly slack: number; readonly windowMs: number; };
    /** Time from the signal to stop until the process is killed. */
    readonly graceMs: number;
}
