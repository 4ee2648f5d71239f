import type { VirtualScheduler } from "../../src/core/util/VirtualScheduler.js";
import type { EdgeFixture } from "./EdgeFixture.js";
import { until } from "./until.js";

const beyondEveryLimitMs = 61_000;

/** Lets the limits on silence pass until the request of the fixture has been given up at its first upstream. */
export async function passSilenceLimit(edge: EdgeFixture, scheduler: VirtualScheduler): Promise<void> {
    await until(() => {
        if (edge.dispatch.ends.length === 0) {
            scheduler.advance(beyondEveryLimitMs);
        }
        return edge.dispatch.ends.length > 0;
    });
}
