import { Packr } from "msgpackr/pack";
import { err, ok, type Result } from "neverthrow";
import { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { PeerFrame } from "./PeerFrame.js";

const frameKinds = ["message", "request", "reply", "ping", "pong"] as const;

/** Keys of the message that is sent most, agreed beforehand so that they are not sent each time. Part of the protocol version. */
const heartbeatKeys = ["type", "incarnation", "heardMs", "digest", "wantsHeartbeats"];

/** Turns frames into MessagePack bytes and back; what arrives is checked against the schema of peer messages. */
export class PeerCodec {
    private readonly packr = new Packr({ structures: [[...heartbeatKeys]], maxSharedStructures: 1 } as object);

    /** A frame is `[kind, id, message]`, for a ping `[kind, quietMs]`; fields that a kind does not have are left out. */
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

    /** The error says what is wrong with the bytes. */
    decode(bytes: Uint8Array): Result<PeerFrame, string> {
        let parts: unknown;
        try {
            parts = this.packr.unpack(bytes);
        }
        catch {
            return err("a frame is not MessagePack");
        }
        if (!Array.isArray(parts)) {
            return err("a frame is not an array");
        }
        return decodeParts(parts);
    }
}

function decodeParts(parts: readonly unknown[]): Result<PeerFrame, string> {
    const [kindIndex, id, payload] = parts;
    const kind = typeof kindIndex === "number" ? frameKinds[kindIndex] : undefined;
    if (kind === undefined) {
        return err("a frame is of an unknown kind");
    }
    if (kind === "pong") {
        return ok({ kind });
    }
    if (kind === "ping") {
        return typeof id === "number" ? ok({ kind, receiveSilenceMs: id }) : err("a ping carries no duration");
    }
    const message = PeerMessage.safeParse(payload);
    if (!message.success) {
        const issue = message.error.issues[0];
        return err(`a ${kind} does not fit the schema at ${issue?.path.join(".") ?? ""}: ${issue?.message ?? ""}`);
    }
    if (kind === "message") {
        return ok({ kind, message: message.data });
    }
    if (typeof id !== "number" || !Number.isSafeInteger(id)) {
        return err(`a ${kind} carries no id`);
    }
    return ok({ kind, id, message: message.data });
}
