import type { ResultAsync } from "neverthrow";
import type { ConfigView } from "../../core/config/ConfigView.js";
import type { ConfigChange } from "../../schema/config/ConfigChange.js";
import type { ApplyError } from "./ApplyError.js";
import type { ApplyResult } from "./ApplyResult.js";

/** The configuration in force on this VM and the way to change it. */
export interface ConfigService {
    /** The view in force. A request reads it once and keeps it. */
    readonly view: ConfigView;
    /** True once some state has been loaded from the log or from a peer. */
    readonly isReady: boolean;
    /** Calls `listener` after each new view; the subscription ends with `signal`. */
    onChange(listener: (view: ConfigView) => void, signal: AbortSignal): void;
    /** Publishes a change and waits until it is folded, then until every live zone has confirmed it or `waitMs` has passed. */
    apply(change: Omit<ConfigChange, "type" | "formatVersion" | "changeId">, waitMs: number): ResultAsync<ApplyResult, ApplyError>;
    /** Revision (stream offset) of the last change of one object; undefined when it does not exist. */
    findRevision(kind: string, name: string): number | undefined;
}
