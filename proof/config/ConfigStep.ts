import type { AppendFault } from "../fakes/AppendFault.js";

/** One step of a fault schedule of the configuration. VMs and zones are named by index. */
export type ConfigStep =
    | {
        readonly kind: "apply";
        readonly vm: number;
        readonly object: "class-a" | "class-b" | "customer";
        readonly op: "put" | "delete";
        readonly value: number;
        /** `read`: what the VM shows now; `old`: an earlier revision; `none`: the operator believes that the object is new. */
        readonly revision: "read" | "old" | "none";
        readonly waitMs: number;
    }
    /** `replace`: crash, and start again at once under the same name. */
    | { readonly kind: "crash" | "start" | "replace" | "pause" | "logDown" | "logUp"; readonly vm: number; }
    | { readonly kind: "resume"; readonly vm: number; readonly isNewestFirst: boolean; }
    | { readonly kind: "logDelay"; readonly vm: number; readonly delayMs: number; }
    | { readonly kind: "appendFault"; readonly vm: number; readonly fault: AppendFault; }
    | { readonly kind: "cutZone" | "healZone"; readonly zone: number; }
    | { readonly kind: "foreignRecord"; readonly content: string; }
    /** The log forgets all but the newest records, as far as a snapshot covers them. */
    | { readonly kind: "forget"; readonly kept: number; }
    | { readonly kind: "advance"; readonly durationMs: number; };
