import type { AppendFault } from "../fakes/AppendFault.js";

/** One step of a fault schedule for the configuration. VMs and zones are identified by index. */
export type ConfigStep =
    | {
        readonly kind: "apply";
        readonly vm: number;
        readonly object: "class-a" | "class-b" | "customer";
        readonly op: "put" | "delete";
        readonly value: number;
        /** `read`: the current revision on the VM; `old`: an earlier one; `none`: the operator assumes that the object is new. */
        readonly revision: "read" | "old" | "none";
        readonly waitMs: number;
    }
    /** `replace`: crashes the VM and immediately starts a new incarnation under the same name. */
    | { readonly kind: "crash" | "start" | "replace" | "pause" | "logDown" | "logUp"; readonly vm: number; }
    | { readonly kind: "resume"; readonly vm: number; readonly isNewestFirst: boolean; }
    | { readonly kind: "logDelay"; readonly vm: number; readonly delayMs: number; }
    | { readonly kind: "appendFault"; readonly vm: number; readonly fault: AppendFault; }
    | { readonly kind: "cutZone" | "healZone"; readonly zone: number; }
    | { readonly kind: "foreignRecord"; readonly content: string; }
    /** The log drops records that a snapshot covers, except the newest `kept` ones. */
    | { readonly kind: "forget"; readonly kept: number; }
    | { readonly kind: "advance"; readonly durationMs: number; };
