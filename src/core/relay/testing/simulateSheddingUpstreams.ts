import { createSeededRandom } from "../../util/createSeededRandom.js";
import { VirtualScheduler } from "../../util/VirtualScheduler.js";
import { LeastLoadedPlacer } from "../LeastLoadedPlacer.js";
import { UpstreamAvailability } from "../UpstreamAvailability.js";
import { UpstreamDirectory } from "../UpstreamDirectory.js";
import { UpstreamHealth } from "../UpstreamHealth.js";
import { UpstreamLoadTracker } from "../UpstreamLoadTracker.js";
import { exampleCall } from "./exampleCall.js";
import { exampleRoute } from "./exampleRoute.js";
import { exampleUpstream } from "./exampleUpstream.js";

interface SheddingWorkload {
    readonly seed: number;
    /** Calls a second of the whole fleet, as a share of what all upstreams can run. */
    readonly load: number;
    /** Upstreams that turn every call away, in the middle of the time. */
    readonly sheddingUpstreams: number;
    /** Whether the VMs go by the pauses that upstreams ask for. */
    readonly followsPauses: boolean;
}

interface SheddingResult {
    /** Share of the calls that an upstream ran at their first attempt and answered within their target. */
    readonly onTimeShare: number;
    readonly refusedShare: number;
    /** Largest number of calls of one VM that reached an upstream in a pause, from half a second after the refusal on. */
    readonly mostCallsInPause: number;
}

const vmCount = 12;
const upstreamCount = 6;
const slots = 6;
/** Calls that an upstream lets wait; further ones are turned away. */
const queueLength = 6;
const workMs = 40;
const targetMs = 200;
/** What an upstream asks for that turns all calls away, and one that is only full: the time in which its queue empties, twice. */
const sheddingPauseMs = 2_000;
const fullPauseMs = 160;
const pauseSlackMs = 500;
const lengthMs = 12_000;
const sheddingFromMs = 3_000;
const sheddingUntilMs = 9_000;

interface SimulatedUpstream {
    running: number;
    readonly waiting: (() => void)[];
}

/** Simulates VMs that send calls which may run once to upstreams that are full at times, some of which turn all calls away for a while. */
export function simulateSheddingUpstreams(workload: SheddingWorkload): SheddingResult {
    const { signal } = new AbortController();
    const random = createSeededRandom(workload.seed);
    const scheduler = new VirtualScheduler();
    const upstreams: readonly SimulatedUpstream[] = [...Array(upstreamCount).keys()].map(() => ({ running: 0, waiting: [] }));
    const counts = { calls: 0, onTime: 0, refused: 0 };
    /** For each VM and upstream, the time of a refusal and the calls that came in the pause after it. */
    const pauses = new Map<string, { readonly fromMs: number; readonly untilMs: number; calls: number; }>();
    let mostCallsInPause = 0;

    const runCall = (upstream: SimulatedUpstream, onEnd: () => void): void => {
        upstream.running++;
        scheduler.after(workMs * (0.5 + random()), () => {
            upstream.running--;
            upstream.waiting.shift()?.();
            onEnd();
        }, signal);
    };
    const vms = [...Array(vmCount).keys()].map(() => {
        const directory = new UpstreamDirectory();
        for (const index of upstreams.keys()) {
            directory.set(exampleUpstream(String(index), { slots }));
        }
        const loadTracker = new UpstreamLoadTracker();
        const availability = new UpstreamAvailability({ directory, health: new UpstreamHealth(), random });
        return { directory, loadTracker, availability, placer: new LeastLoadedPlacer(loadTracker, "z1", random) };
    });

    const sendCall = (vmIndex: number): void => {
        const vm = vms[vmIndex];
        const nowMs = scheduler.nowMs();
        counts.calls++;
        const available = vm?.directory.available("orders") ?? [];
        const candidates = workload.followsPauses ? vm?.availability.select("orders", new Set(), nowMs).candidates ?? [] : available;
        const request = { service: "orders", call: exampleCall(), route: exampleRoute({ targetMs }), available, candidates, nowMs };
        const placement = vm?.placer.place(request);
        if (vm === undefined || placement === undefined) {
            counts.refused++;
            return;
        }
        const { upstream: chosen } = placement;
        const pauseKey = `${vmIndex}/${chosen.id}`;
        const pause = pauses.get(pauseKey);
        if (pause !== undefined && nowMs > pause.fromMs + pauseSlackMs && nowMs < pause.untilMs) {
            mostCallsInPause = Math.max(mostCallsInPause, ++pause.calls);
        }
        vm.availability.recordSent(chosen, nowMs);
        const index = Number(chosen.id);
        const upstream = upstreams[index] as SimulatedUpstream;
        const isShedding = index < workload.sheddingUpstreams && nowMs >= sheddingFromMs && nowMs < sheddingUntilMs;
        if (isShedding || upstream.running >= slots && upstream.waiting.length >= queueLength) {
            counts.refused++;
            const pauseMs = isShedding ? sheddingPauseMs : fullPauseMs;
            vm.availability.recordPause(chosen, pauseMs, nowMs);
            if (pause === undefined || nowMs >= pause.untilMs) {
                pauses.set(pauseKey, { fromMs: nowMs, untilMs: nowMs + pauseMs, calls: 0 });
            }
            return;
        }
        vm.loadTracker.recordCallStart(chosen.id, placement);
        const onEnd = () => {
            vm.loadTracker.recordCallEnd(chosen.id, placement, false);
            vm.availability.recordAnswer(chosen, scheduler.nowMs());
            counts.onTime += scheduler.nowMs() - nowMs <= targetMs ? 1 : 0;
        };
        if (upstream.running < slots) {
            runCall(upstream, onEnd);
        }
        else {
            upstream.waiting.push(() => {
                runCall(upstream, onEnd);
            });
        }
    };

    const meanGapMs = workMs / (upstreamCount * slots * workload.load);
    const scheduleNext = () => {
        scheduler.after(-Math.log(1 - random()) * meanGapMs, () => {
            sendCall(Math.floor(random() * vmCount));
            scheduleNext();
        }, signal);
    };
    scheduleNext();
    scheduler.advance(lengthMs);
    return { onTimeShare: counts.onTime / counts.calls, refusedShare: counts.refused / counts.calls, mostCallsInPause };
}
