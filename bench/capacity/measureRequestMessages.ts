import { constants, createDeflateRaw, type DeflateRaw } from "node:zlib";
import { PeerCodec } from "../../src/node/peer/PeerCodec.js";
import { peerCompression } from "../../src/node/peer/peerCompression.js";
import type { PeerMessage } from "../../src/schema/peer/PeerMessage.js";
import { seededRandom } from "../policy/seededRandom.js";
import type { Quantity } from "./Quantity.js";
import { requestMessages } from "./requestMessages.js";

const requestCount = 2_000;
/** The WebSocket permessage-deflate extension omits the last 4 bytes of each deflate flush. */
const flushTailBytes = 4;
const frameHeaderBytes = 6;
const customersOnLink = 1_200;

/** Bytes and CPU time of the peer messages of a request, on a link that keeps its compression context across messages like peer links. */
export async function measureRequestMessages(): Promise<Quantity[]> {
    const random = seededRandom(1);
    const codec = new PeerCodec();
    const { level, memLevel } = peerCompression.zlibDeflateOptions ?? {};
    const deflate = createDeflateRaw({ windowBits: Number(peerCompression.serverMaxWindowBits), level, memLevel });
    let bytes = 0;
    let messageCount = 0;
    deflate.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
    });
    const startCpu = process.cpuUsage();
    for (let sequence = 0; sequence < requestCount; sequence++) {
        for (const message of requestMessages(sequence, Math.floor(random() * customersOnLink), random)) {
            const payload = codec.encode({ kind: "message", message });
            await writeAndFlush(deflate, payload);
            checkDecodable(codec, payload, message);
            bytes += frameHeaderBytes - flushTailBytes;
            messageCount++;
        }
    }
    const { user, system } = process.cpuUsage(startCpu);
    deflate.close();
    const source = `${requestCount} requests on one link`;
    return [
        { name: "requestBytes", value: Math.round(bytes / requestCount), unit: "bytes", source },
        { name: "messageMicroseconds", value: Math.round((user + system) / messageCount), unit: "us", source },
    ];
}

function writeAndFlush(deflate: DeflateRaw, payload: Uint8Array): Promise<void> {
    return new Promise(resolve => {
        deflate.write(payload);
        deflate.flush(constants.Z_SYNC_FLUSH, resolve);
    });
}

/** Decodes the message: decoding is part of its cost, and proves that a VM would accept the message. */
function checkDecodable(codec: PeerCodec, payload: Uint8Array, message: PeerMessage): void {
    const decoded = codec.decode(payload);
    if (decoded.isErr()) {
        throw new Error(`${message.type} message of the benchmark cannot be decoded, stopping the benchmark: ${decoded.error}`);
    }
}
