/** What is known about a prompt part whose calls waited on engines that crashed. */
export interface PartRecord {
    /** Crashes, each of which took down a call with this part that was sent after the crash before it. */
    crashes: number;
    lastCrashMs: number;
    /** Engine of the last counted crash. */
    lastEngineKey: string;
    /** When the part was quarantined; undefined while it is only suspected. */
    quarantinedMs: number | undefined;
    /** Crashes of calls with this part that were sent while it was quarantined. */
    failedProbes: number;
    lastRequestedMs: number;
}
