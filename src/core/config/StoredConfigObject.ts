import type { ConfigObject } from "../../schema/config/ConfigObject.js";

/** A configuration object with the stream offset of its last change. */
export interface StoredConfigObject {
    readonly object: ConfigObject;
    readonly revision: number;
}
