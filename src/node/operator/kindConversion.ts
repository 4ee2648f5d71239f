import type { ConfigKind } from "../../schema/config/ConfigKind.js";
import { Kind } from "../../schema/generated/orioleshelf/v1/operator_pb.js";

const kinds: Readonly<Record<ConfigKind, Kind>> = {
    serviceClass: Kind.SERVICE_CLASS,
    customer: Kind.CUSTOMER,
    pool: Kind.POOL,
    pathShare: Kind.PATH_SHARE,
};

/** Kinds of configuration object in the proto schema, and back. */
export const kindConversion = {
    toProto(kind: ConfigKind): Kind {
        return kinds[kind];
    },
    /** `undefined` for the unspecified kind and for kinds that this version does not know. */
    fromProto(kind: Kind): ConfigKind | undefined {
        return (Object.keys(kinds) as ConfigKind[]).find(name => kinds[name] === kind);
    },
};
