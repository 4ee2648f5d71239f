import { Packr } from "msgpackr/pack";
import { err, ok, type Result } from "neverthrow";
import { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { PeerFrame } from "./PeerFrame.js";

const frameKinds = ["message", "request", "reply", "ping", "pong"] as const;

/** Keys of the heartbeat, the most frequent message. Both ends know them, so they are not sent. A change needs a new protocol version. */
const heartbeatKeys = ["type", "incarnation", "heardMs", "digest", "wantsHeartbeats"];

/** Encodes frames as MessagePack and decodes them; decoded messages are validated against the schema of peer messages. */
export class PeerCodec {
    private readonly packr = new Packr({ structures: [[...heartbeatKeys]], maxSharedStructures: 1 } as object);

    /** A frame is `[kind, id, message]` with id 0 for a plain message, a ping is `[kind, receiveSilenceMs]` and a pong `[kind]`. */
    encode(frame: PeerFrame): Uint8Array {
        const kind = frameKinds.indexOf(frame.kind);
        if (frame.kind === "message") {
            return this.packr.pack([kind, 0, frame.message]);
        }
        if (frame.kind === "request" || frame.kind === "reply") {
            return this.packr.pack([kind, frame.id, frame.message]);
        }
        return this.packr.pack(frame.kind === "ping" ? [kind, frame.receiveSilenceMs] : [kind]);
    }

    /** Decodes one frame; the error says why the bytes are not valid. */
    decode(bytes: Uint8Array): Result<PeerFrame, string> {
        let parts: unknown;
        try {
            parts = this.packr.unpack(bytes);
        }
        catch {
            return err("frame is not valid MessagePack");
        }
        if (!Array.isArray(parts)) {
            return err("frame is not an array");
        }
        return decodeParts(parts);
    }
}

function decodeParts(parts: readonly unknown[]): Result<PeerFrame, string> {
    const [kindIndex, id, payload] = parts;
    const kind = typeof kindIndex === "number" ? frameKinds[kindIndex] : undefined;
    if (kind === undefined) {
        return err("frame has an unknown kind");
    }
    if (kind === "pong") {
        return ok({ kind });
    }
    if (kind === "ping") {
        return typeof id === "number" ? ok({ kind, receiveSilenceMs: id }) : err("ping frame has no numeric receiveSilenceMs");
    }
    const message = PeerMessage.safeParse(payload);
    if (!message.success) {
        const issue = message.error.issues[0];
        return err(`${kind} frame does not match the schema at ${issue?.path.join(".") ?? ""}: ${issue?.message ?? ""}`);
    }
    if (kind === "message") {
        return ok({ kind, message: message.data });
    }
    if (typeof id !== "number" || !Number.isSafeInteger(id)) {
        return err(`${kind} frame has no integer id`);
    }
    return ok({ kind, id, message: message.data });
}
