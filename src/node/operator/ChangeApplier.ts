import { create } from "@bufbuild/protobuf";
import type { ConnectError } from "@connectrpc/connect";
import { err, ok, okAsync, type Result, type ResultAsync } from "neverthrow";
import type { ConfigChange } from "../../schema/config/ConfigChange.js";
import {
    type ApplyRequest,
    type ApplyResponse,
    ApplyResponseSchema,
    ApplyStatus,
} from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import type { ApplyResult } from "../services/ApplyResult.js";
import type { ConfigService } from "../services/ConfigService.js";
import { createApplyError } from "./createApplyError.js";
import { operationsFromProto } from "./operationsFromProto.js";
import { validateConfigChange } from "./validateConfigChange.js";

const defaultWaitMs = 4_000;
const maxWaitMs = 60_000;
const maxOperations = 500;

type Operations = ConfigChange["operations"];

/** Checks changes of the configuration and hands them to the configuration service. */
export class ChangeApplier {
    constructor(private readonly config: ConfigService) {}

    /** Applies the change of one Apply call. */
    applyRequest(request: ApplyRequest): ResultAsync<ApplyResponse, ConnectError> {
        return this.check(request).asyncAndThen(operations =>
            request.dryRun
                ? okAsync(create(ApplyResponseSchema, { status: ApplyStatus.CHECKED, offset: BigInt(this.config.view.offset) }))
                : this.apply(request.author, operations, request.waitMs)
        );
    }

    /** Publishes checked operations. */
    apply(author: string, operations: Operations, waitMs = defaultWaitMs): ResultAsync<ApplyResponse, ConnectError> {
        return this.config.apply({ author, operations }, Math.min(waitMs, maxWaitMs))
            .map(toProto)
            .mapErr(error => createApplyError(error));
    }

    private check(request: ApplyRequest): Result<Operations, ConnectError> {
        const count = request.operations.length;
        if (count === 0 || count > maxOperations) {
            return err(invalid([`operations: ${count} given; send 1 to ${maxOperations}`]));
        }
        return operationsFromProto(request.operations).mapErr(invalid).andThen(operations => {
            const faults = validateConfigChange(this.config.view, operations);
            return faults.length > 0 ? err(invalid(faults)) : this.checkRevisions(operations);
        });
    }

    /** Tells a conflict early; the fold of the configuration stream decides in the end. */
    private checkRevisions(operations: Operations): Result<Operations, ConnectError> {
        const stale = operations.flatMap(operation => {
            const [kind, name] = operation.op === "put"
                ? [operation.object.kind, operation.object.value.name]
                : [operation.kind, operation.name];
            const revision = this.config.findRevision(kind, name);
            const isStale = operation.readRevision !== undefined && revision !== undefined && revision > operation.readRevision;
            return isStale ? [`${kind} ${name}: read at revision ${operation.readRevision}, now at ${revision}`] : [];
        });
        return stale.length > 0
            ? err(createApplyError({ kind: "conflict", message: `read the objects again and decide again: ${stale.join("; ")}` }, stale))
            : ok(operations);
    }
}

function invalid(faults: readonly string[]): ConnectError {
    return createApplyError({ kind: "invalid", message: `correct the change: ${faults.join("; ")}` }, faults);
}

function toProto(answer: ApplyResult): ApplyResponse {
    return create(ApplyResponseSchema, {
        status: answer.status === "accepted" ? ApplyStatus.ACCEPTED : ApplyStatus.PENDING,
        offset: BigInt(answer.offset),
        pendingZones: [...answer.pendingZones],
    });
}
