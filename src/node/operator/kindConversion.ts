import type { ConfigKind } from "../../schema/config/ConfigKind.js";
import { Kind } from "../../schema/generated/orioleshelf/v1/operator_pb.js";

const protoKinds: Readonly<Record<ConfigKind, Kind>> = {
    serviceClass: Kind.SERVICE_CLASS,
    customer: Kind.CUSTOMER,
    pool: Kind.POOL,
    pathShare: Kind.PATH_SHARE,
};

/** Converts kinds of configuration objects to the proto schema and back. */
export const kindConversion = {
    toProto(kind: ConfigKind): Kind {
        return protoKinds[kind];
    },
    /** Returns undefined for the unspecified kind and for kinds that this version does not know. */
    fromProto(kind: Kind): ConfigKind | undefined {
        return (Object.keys(protoKinds) as ConfigKind[]).find(name => protoKinds[name] === kind);
    },
};
