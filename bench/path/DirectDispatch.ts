import { ok, ResultAsync } from "neverthrow";
import type { DispatchRefusal } from "../../src/node/services/DispatchRefusal.js";
import type { DispatchService } from "../../src/node/services/DispatchService.js";
import type { Grant } from "../../src/node/services/Grant.js";
import type { Upstream } from "../../src/schema/config/Upstream.js";

/** Grants each ticket at once, upstreams in turn: the benchmark measures the path of the bytes, not the decision. */
export class DirectDispatch implements DispatchService {
    private turn = 0;

    constructor(private readonly upstreams: readonly Upstream[]) {}

    acquire(): ResultAsync<Grant, DispatchRefusal> {
        const upstream = this.upstreams[this.turn++ % this.upstreams.length] as Upstream;
        return new ResultAsync(Promise.resolve(ok({
            upstream,
            priority: 0,
            preempted: new AbortController().signal,
            progress: () => undefined,
            end: () => undefined,
        })));
    }
}
