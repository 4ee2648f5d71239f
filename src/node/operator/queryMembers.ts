import type { Member } from "../../core/membership/Member.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { PeerLinks } from "../services/PeerLinks.js";

interface MemberReplies<T> {
    readonly replies: readonly { readonly member: Member; readonly message: T; }[];
    /** VMs that sent no reply of the expected type in time. */
    readonly silentVms: readonly string[];
}

/** Sends one request to all members at once and waits up to `timeoutMs` for their replies. */
export async function queryMembers<T extends PeerMessage["type"]>(
    peers: PeerLinks,
    members: readonly Member[],
    request: PeerMessage,
    replyType: T,
    timeoutMs: number,
    signal: AbortSignal,
): Promise<MemberReplies<Extract<PeerMessage, { type: T; }>>> {
    const results = await Promise.all(
        members.map(async member => ({ member, result: await peers.request(member.vm, request, timeoutMs, signal) })),
    );
    const replies = results.flatMap(({ member, result }) =>
        result.isOk() && isOfType(result.value, replyType) ? [{ member, message: result.value }] : []
    );
    const repliedVms = new Set(replies.map(({ member }) => member.vm));
    return { replies, silentVms: members.map(member => member.vm).filter(vm => !repliedVms.has(vm)) };
}

function isOfType<T extends PeerMessage["type"]>(message: PeerMessage, type: T): message is Extract<PeerMessage, { type: T; }> {
    return message.type === type;
}
