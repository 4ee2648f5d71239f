import type { Member } from "../../core/membership/Member.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import type { PeerLinks } from "../services/PeerLinks.js";

interface MemberAnswers<T> {
    readonly answers: readonly { readonly member: Member; readonly message: T; }[];
    /** VMs that gave no answer of the wanted type in time. */
    readonly silentVms: readonly string[];
}

/** Sends one question to each member and waits for all answers, or for `timeoutMs`. */
export async function queryMembers<T extends PeerMessage["type"]>(
    peers: PeerLinks,
    members: readonly Member[],
    question: PeerMessage,
    answerType: T,
    timeoutMs: number,
    signal: AbortSignal,
): Promise<MemberAnswers<Extract<PeerMessage, { type: T; }>>> {
    const results = await Promise.all(
        members.map(async member => ({ member, result: await peers.request(member.vm, question, timeoutMs, signal) })),
    );
    const answers = results.flatMap(({ member, result }) =>
        result.isOk() && isOfType(result.value, answerType) ? [{ member, message: result.value }] : []
    );
    const answered = new Set(answers.map(({ member }) => member.vm));
    return { answers, silentVms: members.map(member => member.vm).filter(vm => !answered.has(vm)) };
}

function isOfType<T extends PeerMessage["type"]>(message: PeerMessage, type: T): message is Extract<PeerMessage, { type: T; }> {
    return message.type === type;
}
