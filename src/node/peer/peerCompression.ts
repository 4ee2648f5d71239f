import type { PerMessageDeflateOptions } from "ws";

/**
 * Messages between two VMs repeat the names of fields, shards, classes and customers, so a compression window that is kept from message
 * to message reduces them to a tenth. A 4 KB window holds the last few messages and costs about 20 KB of memory per link.
 */
export const peerCompression: PerMessageDeflateOptions = {
    serverNoContextTakeover: false,
    clientNoContextTakeover: false,
    serverMaxWindowBits: 12,
    clientMaxWindowBits: 12,
    zlibDeflateOptions: { level: 3, memLevel: 4 },
};
