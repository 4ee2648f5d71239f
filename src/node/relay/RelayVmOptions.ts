import type { Result } from "neverthrow";
import type { RelayConfig } from "../../schema/relay/RelayConfig.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import type { DutyApi } from "../duties/DutyApi.js";
import type { DutyStore } from "../duties/DutyStore.js";
import type { KeyedLog } from "../services/KeyedLog.js";
import type { RelayDialect } from "./RelayDialect.js";
import type { VmRegistry } from "./VmRegistry.js";

interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** Settings of a VM that relays calls. */
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
    /** Processor time that this VM may use, in cores. */
    readonly processorShare: number;
    /** Memory that this VM may use, and descriptors that it may open; defaults are in `callerLoadLimits`. */
    readonly memoryBytes: number | undefined;
    readonly maxDescriptors: number | undefined;
    /** Path of the readiness probe, with which the platform checks whether this VM accepts callers. */
    readonly readyPath: string;
    /** Peer URLs of a few VMs, through which this one joins the fleet. */
    readonly seeds: readonly string[];
    /** Key shared by the VMs of the fleet; VMs with another key cannot connect. Keeps outsiders away only where it is secret. */
    readonly peerKey: string;
    readonly dialect: RelayDialect;
    readonly config: {
        readonly source: KeyedLog;
        /** Key of the configuration's records; other keys of the stream are ignored. */
        readonly key: string;
        readonly decode: (value: Uint8Array) => Result<RelayConfig, string>;
    };
    readonly upstreams: {
        readonly source: KeyedLog;
        readonly decode: (id: string, value: Uint8Array) => Result<RelayUpstream, string>;
        /** An entry that its upstream has written within this time was deleted, and has not expired, when it leaves the list. */
        readonly minExpiryMs: number;
        /** Time after an outage of the list from which on the VM must send no calls to upstreams that have left it. */
        readonly maxGraceMs: number;
    };
    readonly registry: VmRegistry;
    /** Limit on retries by all VMs together to one service: `perCall` for each call, plus `slack` in each `windowMs`. */
    readonly retryBudget: { readonly perCall: number; readonly slack: number; readonly windowMs: number; };
    /** Duties of one VM at a time; undefined if the fleet has none. */
    readonly duties: {
        readonly names: readonly ("usage" | "scale")[];
        readonly store: DutyStore;
        readonly api: DutyApi;
        /** Length of the lease on the duties. */
        readonly leaseMs: number;
        /** Usage reports: length of a window, and time after its end by which its report is due. */
        readonly usage: { readonly windowMs: number; readonly lateMs: number; };
    } | undefined;
    /**
     * Whether the speeds of engines are learned from their streams and used to place prompts. Has no effect where the engines of a service are
     * alike.
     */
    readonly learnsEngineSpeeds: boolean;
    /** Largest share of hedges among the calls of a service; 0 turns hedging off. */
    readonly hedgeShare: number;
    /** Whether calls for which there is too little room are refused, and customers over their share put behind others. */
    readonly admission: boolean;
    /** Whether the whole fleet starts for the first time, so that no caller waits for it yet. */
    readonly isFirstStart: boolean;
    /** Time within which this VM must act upon a change of the configuration or of the upstreams. */
    readonly changeLimitMs: number;
    /** Time between the stop signal and the moment when the process is killed. */
    readonly graceMs: number;
}
