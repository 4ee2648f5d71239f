import type { VirtualScheduler } from "../../src/core/util/VirtualScheduler.js";
import type { EdgeFixture } from "./EdgeFixture.js";
import { until } from "./until.js";

const beyondAllTimeoutsMs = 61_000;

/** Advances the virtual clock past the inactivity time-outs until the first upstream's grant has ended. */
export async function passSilenceLimit(edge: EdgeFixture, scheduler: VirtualScheduler): Promise<void> {
    await until(() => {
        if (edge.dispatch.ends.length === 0) {
            scheduler.advance(beyondAllTimeoutsMs);
        }
        return edge.dispatch.ends.length > 0;
    });
}
