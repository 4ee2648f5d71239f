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

/** Validates configuration changes and passes them to the configuration service. */
export class ChangeApplier {
    constructor(private readonly config: ConfigService) {}

    /** Handles one Apply call: validates its change and, unless it is a dry run, applies it. */
    applyRequest(request: ApplyRequest): ResultAsync<ApplyResponse, ConnectError> {
        return this.validate(request).asyncAndThen(operations =>
            request.dryRun
                ? okAsync(create(ApplyResponseSchema, { status: ApplyStatus.CHECKED, offset: BigInt(this.config.view.offset) }))
                : this.apply(request.author, operations, request.waitMs)
        );
    }

    /** Applies operations that have been validated; waits for at most `waitMs`, limited to `maxWaitMs`. */
    apply(author: string, operations: Operations, waitMs = defaultWaitMs): ResultAsync<ApplyResponse, ConnectError> {
        return this.config.apply({ author, operations }, Math.min(waitMs, maxWaitMs))
            .map(resultToProto)
            .mapErr(error => createApplyError(error));
    }

    private validate(request: ApplyRequest): Result<Operations, ConnectError> {
        const count = request.operations.length;
        if (count === 0 || count > maxOperations) {
            return err(createInvalidError([`operations: the change has ${count}; send 1 to ${maxOperations}`]));
        }
        return operationsFromProto(request.operations).mapErr(createInvalidError).andThen(operations => {
            const errors = validateConfigChange(this.config.view, operations);
            return errors.length > 0 ? err(createInvalidError(errors)) : this.checkRevisions(operations);
        });
    }

    /** Detects a conflict before the change is published. The fold of the configuration stream is authoritative. */
    private checkRevisions(operations: Operations): Result<Operations, ConnectError> {
        const conflicts = operations.flatMap(operation => {
            const [kind, name] = operation.op === "put"
                ? [operation.object.kind, operation.object.value.name]
                : [operation.kind, operation.name];
            const revision = this.config.findRevision(kind, name);
            const isStale = operation.readRevision !== undefined && revision !== undefined && revision > operation.readRevision;
            return isStale ? [`${kind} ${name}: read at revision ${operation.readRevision}, now at revision ${revision}`] : [];
        });
        return conflicts.length > 0
            ? err(
                createApplyError({
                    kind: "conflict",
                    message: `objects changed since they were read; read the objects again and repeat the change: ${conflicts.join("; ")}`,
                }, conflicts),
            )
            : ok(operations);
    }
}

function createInvalidError(errors: readonly string[]): ConnectError {
    return createApplyError({ kind: "invalid", message: `correct the change: ${errors.join("; ")}` }, errors);
}

function resultToProto(result: ApplyResult): ApplyResponse {
    return create(ApplyResponseSchema, {
        status: result.status === "accepted" ? ApplyStatus.ACCEPTED : ApplyStatus.PENDING,
        offset: BigInt(result.offset),
        pendingZones: [...result.pendingZones],
    });
}
