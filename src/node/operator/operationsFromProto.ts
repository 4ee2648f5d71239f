import { err, ok, type Result } from "neverthrow";
import type { ConfigChange } from "../../schema/config/ConfigChange.js";
import type { Operation } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { combineWithAllErrors } from "./combineWithAllErrors.js";
import { kindConversion } from "./kindConversion.js";
import { objectFromProto } from "./objectFromProto.js";

type Change = ConfigChange["operations"][number];

/** Converts the operations of an Apply call and tells the faults of all of them at once. */
export function operationsFromProto(operations: readonly Operation[]): Result<Change[], readonly string[]> {
    return combineWithAllErrors(operations.map((operation, index) => fromProto(operation).mapErr(faults => faults.map(at(index)))));
}

function at(index: number): (fault: string) => string {
    return fault => `operations.${index}.${fault}`;
}

function fromProto({ operation, readRevision }: Operation): Result<Change, readonly string[]> {
    const revision = readRevision === undefined ? {} : { readRevision: Number(readRevision) };
    switch (operation.case) {
        case "put":
            return objectFromProto(operation.value).map(object => ({ op: "put" as const, object, ...revision }));
        case "delete": {
            const kind = kindConversion.fromProto(operation.value.kind);
            return kind === undefined || operation.value.name === ""
                ? err(["delete: give kind and name of the object to delete"])
                : ok({ op: "delete" as const, kind, name: operation.value.name, ...revision });
        }
        default:
            return err(["operation: none given; set put or delete"]);
    }
}
