import type { WaitingCall } from "../../core/quarantine/WaitingCall.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";

interface EngineCrashDetectorOptions {
    readonly scheduler: Scheduler;
    /** Whether the upstream refuses a new connection, as its process has ended. */
    readonly isDown: (upstream: RelayUpstream) => Promise<boolean>;
    /** Receives the calls that waited for their first event on an upstream that has crashed. */
    readonly onCrash: (upstream: RelayUpstream, calls: readonly WaitingCall[], crashedMs: number) => void;
}

/** The connections to an engine that crashes break within this time of each other. */
const gatherMs = 20;

/**
 * Tells an engine that crashed from one that only broke a connection: after a call broke before its first event, a crashed engine refuses
 * a new connection.
 */
export class EngineCrashDetector {
    private readonly checksInProgress = new Map<string, { readonly calls: WaitingCall[]; readonly isDown: Promise<boolean>; }>();

    constructor(private readonly options: EngineCrashDetectorOptions) {}

    /** Records that a call broke before its first event. Resolves when it is known whether the upstream is down. */
    recordBrokenCall(upstream: RelayUpstream, call: WaitingCall, signal: AbortSignal): Promise<boolean> {
        const check = this.checksInProgress.get(upstream.id);
        if (check !== undefined) {
            check.calls.push(call);
            return check.isDown;
        }
        const calls = [call];
        const isDown = this.check(upstream, calls, signal);
        this.checksInProgress.set(upstream.id, { calls, isDown });
        return isDown;
    }

    private async check(upstream: RelayUpstream, calls: readonly WaitingCall[], signal: AbortSignal): Promise<boolean> {
        const { scheduler, onCrash } = this.options;
        const crashedMs = scheduler.nowMs();
        await new Promise<void>(resolve => {
            scheduler.after(gatherMs, resolve, signal);
        });
        const isDown = await this.options.isDown(upstream);
        this.checksInProgress.delete(upstream.id);
        if (isDown) {
            onCrash(upstream, calls, crashedMs);
        }
        return isDown;
    }
}
