import { err, ok, type Result } from "neverthrow";
import type { ConfigChange } from "../../schema/config/ConfigChange.js";
import type { Operation } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { combineWithAllErrors } from "./combineWithAllErrors.js";
import { kindConversion } from "./kindConversion.js";
import { objectFromProto } from "./objectFromProto.js";

type Change = ConfigChange["operations"][number];

/** Converts the operations of an Apply call, or fails with the errors of all of them, each prefixed with `operations.INDEX`. */
export function operationsFromProto(operations: readonly Operation[]): Result<Change[], readonly string[]> {
    return combineWithAllErrors(
        operations.map((operation, index) => operationFromProto(operation).mapErr(errors => errors.map(createErrorPrefixer(index)))),
    );
}

function createErrorPrefixer(index: number): (error: string) => string {
    return error => `operations.${index}.${error}`;
}

function operationFromProto({ operation, readRevision }: Operation): Result<Change, readonly string[]> {
    const revision = readRevision === undefined ? {} : { readRevision: Number(readRevision) };
    switch (operation.case) {
        case "put":
            return objectFromProto(operation.value).map(object => ({ op: "put" as const, object, ...revision }));
        case "delete": {
            const kind = kindConversion.fromProto(operation.value.kind);
            return kind === undefined || operation.value.name === ""
                ? err(["delete: kind or name is missing; set both to those of the object to delete"])
                : ok({ op: "delete" as const, kind, name: operation.value.name, ...revision });
        }
        default:
            return err(["operation: none is set; set put or delete"]);
    }
}
