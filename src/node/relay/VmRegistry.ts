import type { ResultAsync } from "neverthrow";
import type { VmList } from "../../schema/platform/VmList.js";
import type { LogError } from "../services/LogError.js";

type ListedVm = VmList["vms"][number];

/** Registry on the platform in which VMs announce their addresses, so that VMs that reach no seed can find them. */
export interface VmRegistry {
    announce(vm: ListedVm, signal: AbortSignal): ResultAsync<void, LogError>;
    list(signal: AbortSignal): ResultAsync<readonly ListedVm[], LogError>;
}
