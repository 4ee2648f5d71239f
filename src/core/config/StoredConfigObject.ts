import type { ConfigObject } from "../../schema/config/ConfigObject.js";

/** Configuration object; its revision is the stream offset of its last change. */
export interface StoredConfigObject {
    readonly object: ConfigObject;
    readonly revision: number;
}
