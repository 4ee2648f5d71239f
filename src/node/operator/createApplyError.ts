import { Code, ConnectError } from "@connectrpc/connect";
import { ApplyFailureKind, ApplyFailureSchema } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import type { ApplyError } from "../services/ApplyError.js";

const codes: Readonly<Record<ApplyError["kind"], Code>> = {
    conflict: Code.Aborted,
    invalid: Code.InvalidArgument,
    "not-published": Code.Unavailable,
    unknown: Code.Unknown,
};

const kinds: Readonly<Record<ApplyError["kind"], ApplyFailureKind>> = {
    conflict: ApplyFailureKind.CONFLICT,
    invalid: ApplyFailureKind.INVALID,
    "not-published": ApplyFailureKind.NOT_PUBLISHED,
    unknown: ApplyFailureKind.UNKNOWN,
};

/** Creates the error of a failed Apply call, with an `ApplyFailure` detail that holds its kind and validation errors. */
export function createApplyError(error: ApplyError, validationErrors: readonly string[] = []): ConnectError {
    const detail = { desc: ApplyFailureSchema, value: { kind: kinds[error.kind], faults: [...validationErrors] } };
    return new ConnectError(error.message, codes[error.kind], undefined, [detail]);
}
