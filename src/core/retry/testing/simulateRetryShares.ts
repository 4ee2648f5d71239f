import { createSeededRandom } from "../../util/createSeededRandom.js";
import { VirtualScheduler } from "../../util/VirtualScheduler.js";
import { computeRetryShare } from "../computeRetryShare.js";
import { FleetSizeEstimate } from "../FleetSizeEstimate.js";
import { RetryBudget } from "../RetryBudget.js";

type RetryScenario = "all killed at once" | "zone cut off" | "VMs added" | "restarts one after the other";

interface RetrySharesOptions {
    readonly scenario: RetryScenario;
    readonly vmCount: number;
    /** Retries that the fleet may make in each window regardless of traffic. */
    readonly slack: number;
    readonly seed: number;
}

interface RetrySharesResult {
    /** Largest share of the slack that all VMs used together in a window, in addition to what their calls had earned. */
    readonly usedShare: number;
    /** The same for the VMs of the zone that is cut off, while it is. */
    readonly usedShareOfLoneZone: number;
}

interface SimulatedVm {
    readonly zone: number;
    readonly startMs: number;
    /** How late this VM learns of others that come or go. */
    readonly delayMs: number;
    readonly budget: RetryBudget;
}

const windowMs = 10_000;
const stepMs = 250;
const retriesPerRequest = 0.2;
/** Part of the limits that VMs may use. */
const usableShare = 0.7;
const zoneCount = 3;
const troubleStartMs = 30_000;
const troubleEndMs = 60_000;
const endMs = 90_000;

/** Simulates VMs of which each spends all retries that it has, at moments of its own, while VMs restart, come, or lose sight of each other. */
export function simulateRetryShares({ scenario, vmCount, slack, seed }: RetrySharesOptions): RetrySharesResult {
    const random = createSeededRandom(seed);
    const clock = new VirtualScheduler();
    const fleet: (SimulatedVm | undefined)[] = [];
    const isCut = (nowMs: number) => scenario === "zone cut off" && nowMs >= troubleStartMs && nowMs < troubleEndMs;
    const countVisible = (vm: SimulatedVm) => {
        const knownMs = clock.nowMs() - vm.delayMs;
        return fleet.filter(other =>
            other === vm ||
            other !== undefined && clock.nowMs() - vm.startMs >= vm.delayMs && other.startMs <= knownMs
                && (!isCut(knownMs) || (other.zone === 0) === (vm.zone === 0))
        ).length;
    };
    const startVm = (index: number) => {
        const startMs = clock.nowMs();
        let counted = { atMs: -1, members: 1 };
        const countMembers = () => {
            if (counted.atMs !== clock.nowMs()) {
                counted = { atMs: clock.nowMs(), members: countVisible(vm) };
            }
            return counted.members;
        };
        const estimate = new FleetSizeEstimate({ clock, countMembers, hasPeers: true, settleMs: windowMs });
        const vm: SimulatedVm = {
            zone: index % zoneCount,
            startMs,
            delayMs: 300 + random() * 2_700,
            budget: new RetryBudget(clock, {
                retriesPerRequest: retriesPerRequest * usableShare,
                initialSavedRetries: 0,
                getShare: () => computeRetryShare(slack * usableShare, windowMs, estimate.vms),
            }),
        };
        fleet[index] = vm;
    };

    for (let index = 0; index < vmCount; index++) {
        startVm(index);
    }
    const stepsPerWindow = windowMs / stepMs;
    const steps: { readonly requests: number; readonly retries: number; readonly loneRetries: number; }[] = [];
    let restarted = 0;
    let isDemanding = false;
    let usedShare = 0;
    let usedShareOfLoneZone = 0;
    while (clock.nowMs() < endMs) {
        const nowMs = clock.nowMs();
        if (scenario === "all killed at once" && nowMs === troubleStartMs) {
            for (let index = 0; index < vmCount; index++) {
                startVm(index);
            }
        }
        if (scenario === "VMs added" && nowMs === troubleStartMs) {
            for (let index = vmCount; index < 2 * vmCount; index++) {
                startVm(index);
            }
        }
        if (scenario === "restarts one after the other" && nowMs >= troubleStartMs) {
            const due = Math.min(vmCount, Math.ceil((nowMs - troubleStartMs) / (troubleEndMs - troubleStartMs) * vmCount));
            for (; restarted < due; restarted++) {
                startVm(restarted);
            }
        }
        if (random() < 0.05) {
            isDemanding = !isDemanding;
        }
        const step = { requests: 0, retries: 0, loneRetries: 0 };
        for (const vm of fleet) {
            if (vm === undefined) {
                continue;
            }
            if (random() < 0.25) {
                step.requests++;
                vm.budget.recordFirstAttempt();
            }
            while (isDemanding && vm.budget.trySpend()) {
                step.retries++;
                step.loneRetries += isCut(nowMs) && vm.zone === 0 ? 1 : 0;
            }
        }
        steps.push(step);
        const recent = steps.slice(-stepsPerWindow);
        const sum = (field: keyof typeof step) => recent.reduce((total, current) => total + current[field], 0);
        usedShare = Math.max(usedShare, (sum("retries") - retriesPerRequest * sum("requests")) / slack);
        usedShareOfLoneZone = Math.max(usedShareOfLoneZone, sum("loneRetries") / slack);
        clock.advance(stepMs);
    }
    return { usedShare, usedShareOfLoneZone };
}
