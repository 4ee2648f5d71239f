import type { PerMessageDeflateOptions } from "ws";

/**
 * Messages between two VMs repeat names of fields, shards, classes and customers, so a window kept over messages shrinks them to a tenth.
 * A window of 4 KB holds the last few messages, and costs some 20 KB of memory a link.
 */
export const peerCompression: PerMessageDeflateOptions = {
    serverNoContextTakeover: false,
    clientNoContextTakeover: false,
    serverMaxWindowBits: 12,
    clientMaxWindowBits: 12,
    zlibDeflateOptions: { level: 3, memLevel: 4 },
};
