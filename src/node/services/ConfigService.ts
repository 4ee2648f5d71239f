import type { ResultAsync } from "neverthrow";
import type { ConfigView } from "../../core/config/ConfigView.js";
import type { ConfigChange } from "../../schema/config/ConfigChange.js";
import type { ApplyError } from "./ApplyError.js";
import type { ApplyResult } from "./ApplyResult.js";

/** Provides the configuration in force on this VM, and applies changes to it. */
export interface ConfigService {
    /** The view in force. A request reads it once and uses that view until it ends. */
    readonly view: ConfigView;
    /** True once configuration has been loaded from the log or from a peer. */
    readonly isReady: boolean;
    /** Calls `listener` with each new view until `signal` aborts. */
    onChange(listener: (view: ConfigView) => void, signal: AbortSignal): void;
    /**
     * Publishes a change and waits until it is folded, then until every live availability zone has confirmed it. `waitMs` limits the
     * whole wait.
     */
    apply(change: Omit<ConfigChange, "type" | "formatVersion" | "changeId">, waitMs: number): ResultAsync<ApplyResult, ApplyError>;
    /** Revision (stream offset) of the last change to an object; undefined when the object does not exist. */
    findRevision(kind: string, name: string): number | undefined;
}
