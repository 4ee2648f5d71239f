/** What a caller was told about its call. */
type Told =
    | { readonly outcome: "answered"; readonly answer: string; }
    | { readonly outcome: "not-run" | "ran" | "unknown"; readonly kind: string; };

/** One thing that happened in the fleet, as seen from outside the code under proof. Times are true milliseconds. */
export type HistoryEvent =
    | { readonly type: "vmStarted" | "vmCrashed"; readonly atMs: number; readonly vm: string; readonly incarnation: string; }
    | {
        readonly type: "called";
        readonly atMs: number;
        readonly callId: number;
        readonly vm: string;
        readonly incarnation: string;
        readonly key: string;
        /** The key as the booking stream names it. */
        readonly streamKey: string;
        readonly digest: string;
        readonly upstreamDeduplicates: boolean;
    }
    /** A VM handed the call to an upstream. */
    | { readonly type: "sent"; readonly atMs: number; readonly callId: number; }
    /** The upstream took effect for the call. */
    | { readonly type: "ran"; readonly atMs: number; readonly callId: number; readonly answer: string; }
    /** The VM heard the upstream's answer to the call. */
    | { readonly type: "upstreamAnswered"; readonly atMs: number; readonly callId: number; }
    | { readonly type: "told"; readonly atMs: number; readonly callId: number; readonly told: Told; }
    /** A VM handed a record to the log. */
    | { readonly type: "appended"; readonly atMs: number; readonly vm: string; readonly stream: string; readonly payload: Uint8Array; }
    | { readonly type: "landed"; readonly atMs: number; readonly stream: string; readonly offset: number; readonly payload: Uint8Array; }
    | {
        readonly type: "read";
        readonly atMs: number;
        readonly vm: string;
        readonly incarnation: string;
        readonly stream: string;
        readonly offset: number;
    }
    /** From here on no fault is in force, and each key is called once more. */
    | { readonly type: "healed"; readonly atMs: number; };
