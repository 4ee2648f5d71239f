import type { AppendFault } from "../fakes/AppendFault.js";

/** How the upstream handles one call. `lose`: the call takes effect, but the connection closes before the answer. */
type UpstreamBehaviour = { readonly kind: "answer" | "lose" | "refuse"; readonly tookMs: number; };

/** One step of a fault schedule for keyed calls. VMs are identified by index. */
export type BookingStep =
    | {
        readonly kind: "call";
        readonly vm: number;
        readonly key: number;
        readonly digest: number;
        readonly upstream: UpstreamBehaviour;
        readonly cancelAfterMs: number | undefined;
    }
    | { readonly kind: "crash" | "start" | "pause" | "logDown" | "logUp" | "suspect"; readonly vm: number; }
    | { readonly kind: "resume"; readonly vm: number; readonly isNewestFirst: boolean; readonly wasSuspended: boolean; }
    /** Pauses the VM for `durationMs` while the others run, then resumes it. */
    | {
        readonly kind: "stall";
        readonly vm: number;
        readonly durationMs: number;
        readonly isNewestFirst: boolean;
        readonly wasSuspended: boolean;
    }
    | { readonly kind: "logDelay"; readonly vm: number; readonly delayMs: number; }
    | { readonly kind: "appendFault"; readonly vm: number; readonly fault: AppendFault; }
    | { readonly kind: "advance"; readonly durationMs: number; };
