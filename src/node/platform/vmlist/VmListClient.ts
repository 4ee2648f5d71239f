import type { ResultAsync } from "neverthrow";
import type { VmList } from "../../../schema/platform/VmList.js";
import type { VmListError } from "./VmListError.js";

/** Reads the platform's list of VMs and upstreams, which lags behind their actual state. */
export interface VmListClient {
    fetch(signal: AbortSignal): ResultAsync<VmList, VmListError>;
}
