import { kindConversion } from "../node/operator/kindConversion.js";
import { ConfigKind } from "../schema/config/ConfigKind.js";
import { Kind } from "../schema/generated/orioleshelf/v1/operator_pb.js";
import { UsageError } from "./UsageError.js";

/** Parses an argument that names a kind of configuration object; returns `Kind.UNSPECIFIED` (all kinds) if it is absent. */
export function parseKind(text: string | undefined): Kind {
    if (text === undefined) {
        return Kind.UNSPECIFIED;
    }
    const kind = ConfigKind.safeParse(text);
    if (!kind.success) {
        throw new UsageError(`unknown kind ${text}; expected one of ${ConfigKind.options.join(", ")}`);
    }
    return kindConversion.toProto(kind.data);
}
