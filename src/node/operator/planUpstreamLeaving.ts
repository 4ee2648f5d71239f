import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { err, ok, okAsync, type Result, type ResultAsync } from "neverthrow";
import type { ConfigView } from "../../core/config/ConfigView.js";
import type { Pool } from "../../schema/config/Pool.js";
import {
    ApplyStatus,
    type PlanUpstreamLeavingRequest,
    type PlanUpstreamLeavingResponse,
    PlanUpstreamLeavingResponseSchema,
} from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import type { ConfigService } from "../services/ConfigService.js";
import type { ChangeApplier } from "./ChangeApplier.js";

const maxAttempts = 3;

/** Marks an upstream as leaving, or clears the mark. On a conflict with another change it reads the pool again and retries. */
export function planUpstreamLeaving(
    config: ConfigService,
    applier: ChangeApplier,
    request: PlanUpstreamLeavingRequest,
    attempt = 1,
): ResultAsync<PlanUpstreamLeavingResponse, ConnectError> {
    const { view } = config;
    return updateLeavingMark(view, request).asyncAndThen(pool => {
        const readRevision = config.findRevision("pool", pool.name);
        const operation = { op: "put" as const, object: { kind: "pool" as const, value: pool }, readRevision };
        const applied = request.dryRun
            ? okAsync({ status: ApplyStatus.CHECKED, offset: BigInt(view.offset), pendingZones: [] })
            : applier.apply(request.author, [operation], request.waitMs);
        return applied.map(applyResponse => createResponse(view, pool, applyResponse));
    }).orElse(error =>
        error.code === Code.Aborted && attempt < maxAttempts ? planUpstreamLeaving(config, applier, request, attempt + 1) : err(error)
    );
}

function updateLeavingMark(view: ConfigView, { pool: poolName, upstreamId, stay }: PlanUpstreamLeavingRequest): Result<Pool, ConnectError> {
    const pool = view.pools.get(poolName);
    if (!pool?.upstreams.some(upstream => upstream.id === upstreamId)) {
        return err(
            new ConnectError(
                `pool ${poolName} does not exist or has no upstream ${upstreamId}; list the pools to see their upstreams`,
                Code.NotFound,
            ),
        );
    }
    const upstreams = pool.upstreams.map(upstream => upstream.id === upstreamId ? { ...upstream, leaving: !stay } : upstream);
    return ok({ ...pool, upstreams });
}

function createResponse(
    view: ConfigView,
    pool: Pool,
    applied: Partial<PlanUpstreamLeavingResponse["applied"]>,
): PlanUpstreamLeavingResponse {
    const pools = [...view.pools.values()].map(other => other.name === pool.name ? pool : other);
    const isServed = (service: string) =>
        pools.some(other =>
            other.path === pool.path && other.services.includes(service) && other.upstreams.some(upstream => !upstream.leaving)
        );
    return create(PlanUpstreamLeavingResponseSchema, {
        applied: applied as PlanUpstreamLeavingResponse["applied"],
        remainingByZone: countRemainingByZone(pool),
        servicesWithoutUpstream: pool.services.filter(service => !isServed(service)),
    });
}

function countRemainingByZone(pool: Pool): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const upstream of pool.upstreams.filter(candidate => !candidate.leaving)) {
        counts[upstream.availabilityZone] = (counts[upstream.availabilityZone] ?? 0) + 1;
    }
    return counts;
}
