/** One call that began to run. */
export interface UsageRun {
    readonly customer: string;
    /** When it began, on the monotonic clock of the VM that recorded it. */
    readonly begunMs: number;
}
