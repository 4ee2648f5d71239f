import type { ConfigObject } from "../../schema/config/ConfigObject.js";

/** A configuration object with the stream offset of its last change. */
export interface StoredObject {
    readonly object: ConfigObject;
    readonly revision: number;
}
