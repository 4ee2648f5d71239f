import { callerLoadLimits } from "../../core/relay/callerLoadLimits.js";
import { collectGarbage } from "./collectGarbage.js";

let bytesSinceCollection = 0;

/**
 * Counts bytes that have been received and copied or discarded, and now and then collects the buffers in which they came. Node.js allocates one for
 * each read; V8 sees how large they are only late, so that a crowd of senders makes it hold tens of megabytes of them.
 */
export function collectReceivedBuffers(receivedBytes: number): void {
    bytesSinceCollection += receivedBytes;
    if (bytesSinceCollection >= callerLoadLimits.collectAfterBytes) {
        bytesSinceCollection = 0;
        collectGarbage("minor");
    }
}
