import type { ResultAsync } from "neverthrow";
import type { VmList } from "../../schema/platform/VmList.js";
import type { LogError } from "../services/LogError.js";

type ListedVm = VmList["vms"][number];

/** Where VMs leave their addresses on the platform, for those that reach no seed. */
export interface VmRegistry {
    announce(vm: ListedVm, signal: AbortSignal): ResultAsync<void, LogError>;
    list(signal: AbortSignal): ResultAsync<readonly ListedVm[], LogError>;
}
