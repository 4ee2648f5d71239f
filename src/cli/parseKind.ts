import { kindConversion } from "../node/operator/kindConversion.js";
import { ConfigKind } from "../schema/config/ConfigKind.js";
import { Kind } from "../schema/generated/orioleshelf/v1/operator_pb.js";
import { UsageError } from "./UsageError.js";

/** Reads a kind of configuration object from an argument; all kinds when there is none. */
export function parseKind(text: string | undefined): Kind {
    if (text === undefined) {
        return Kind.UNSPECIFIED;
    }
    const kind = ConfigKind.safeParse(text);
    if (!kind.success) {
        throw new UsageError(`there is no kind ${text}; give one of ${ConfigKind.options.join(", ")}`);
    }
    return kindConversion.toProto(kind.data);
}
