import { create } from "@bufbuild/protobuf";
import { err, ok, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { parse } from "yaml";
import { kindConversion } from "../node/operator/kindConversion.js";
import { objectToProto } from "../node/operator/objectToProto.js";
import { type Operation, OperationSchema } from "../schema/generated/orioleshelf/v1/operator_pb.js";
import { ChangeFile } from "./ChangeFile.js";

/** Reads the operations of a change file. Each error is a line with the file name, the path of the invalid value and the problem. */
export function readChangeFile(file: string): Result<Operation[], readonly string[]> {
    return readYaml(file).andThen(content => {
        const parsed = ChangeFile.safeParse(content);
        return parsed.success
            ? ok(toOperations(parsed.data))
            : err(parsed.error.issues.map(issue => `${file}: ${issue.path.map(String).join(".")}: ${issue.message}`));
    });
}

function readYaml(file: string): Result<unknown, readonly string[]> {
    try {
        return ok(parse(readFileSync(file, "utf8")));
    }
    catch (error) {
        return err([`${file}: ${(error as Error).message}; expected a readable YAML file`]);
    }
}

function toOperations(change: ChangeFile): Operation[] {
    return [
        ...change.put.map(({ readRevision, ...object }) =>
            create(OperationSchema, { operation: { case: "put", value: objectToProto(object) }, ...toRevisionField(readRevision) })
        ),
        ...change.delete.map(({ readRevision, kind, name }) =>
            create(OperationSchema, {
                operation: { case: "delete", value: { kind: kindConversion.toProto(kind), name } },
                ...toRevisionField(readRevision),
            })
        ),
    ];
}

function toRevisionField(readRevision: number | undefined): { readRevision?: bigint; } {
    return readRevision === undefined ? {} : { readRevision: BigInt(readRevision) };
}
