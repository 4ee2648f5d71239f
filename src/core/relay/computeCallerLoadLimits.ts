import { callerLoadLimits as limits } from "./callerLoadLimits.js";

/** Derives what callers and probes may use from the memory and the descriptors of a VM. */
export function computeCallerLoadLimits(
    memoryBytes: number = limits.defaultMemoryBytes,
    maxDescriptors: number = limits.defaultDescriptors,
) {
    const sockets = Math.max(0, maxDescriptors - limits.fileDescriptors);
    return {
        budgetBytes: Math.max(limits.minBudgetBytes, (memoryBytes - limits.restBytes) * limits.budgetShare),
        maxCallerConnections: Math.max(1, Math.floor(sockets * limits.callerDescriptorShare)),
        maxCalls: Math.max(1, Math.floor(sockets * limits.callDescriptorShare)),
        maxProbeConnections: Math.max(1, Math.min(limits.maxProbeConnections, Math.floor(sockets * limits.probeDescriptorShare))),
    };
}
