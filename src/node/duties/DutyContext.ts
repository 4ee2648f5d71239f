import type { RelayVmOptions } from "../relay/RelayVmOptions.js";
import type { DutyApi } from "./DutyApi.js";
import type { DutyLease } from "./DutyLease.js";

/** What the task of one duty works with. */
export interface DutyContext {
    readonly lease: DutyLease;
    /** Counts its calls by reply. */
    readonly api: DutyApi;
    readonly duties: NonNullable<RelayVmOptions["duties"]>;
}
