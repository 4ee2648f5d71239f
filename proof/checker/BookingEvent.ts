/** Result of a call as returned to the caller. */
type Told =
    | { readonly outcome: "answered"; readonly answer: string; }
    | { readonly outcome: "not-run" | "ran" | "unknown"; readonly kind: string; };

/** An event in the fleet, observed outside the code under test. Times are milliseconds of the simulated clock. */
export type BookingEvent =
    | { readonly type: "vmStarted" | "vmCrashed"; readonly atMs: number; readonly vm: string; readonly incarnation: string; }
    | {
        readonly type: "called";
        readonly atMs: number;
        readonly callId: number;
        readonly vm: string;
        readonly incarnation: string;
        readonly key: string;
        /** Hash of customer and key, which identifies the key in the booking stream. */
        readonly streamKey: string;
        readonly digest: string;
        readonly upstreamDeduplicates: boolean;
    }
    /** A VM sent the call to the upstream. */
    | { readonly type: "sent"; readonly atMs: number; readonly callId: number; }
    /** The call took effect at the upstream. */
    | { readonly type: "ran"; readonly atMs: number; readonly callId: number; readonly answer: string; }
    /** The VM received the upstream's answer to the call. */
    | { readonly type: "upstreamAnswered"; readonly atMs: number; readonly callId: number; }
    | { readonly type: "told"; readonly atMs: number; readonly callId: number; readonly told: Told; }
    /** A VM passed a payload to the log for appending. */
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
    /** All faults are cleared; each key is called once more after this event. */
    | { readonly type: "healed"; readonly atMs: number; };
