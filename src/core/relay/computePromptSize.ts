import type { RelayCall } from "../../schema/relay/RelayCall.js";

/** Size of a prompt, split into tokens shared with other calls and its own tokens. */
interface RelayPromptSize {
    readonly sharedTokens: number;
    readonly ownTokens: number;
}

/** Computes the prompt size of a call. Its last part and the tokens outside of all parts count as its own. */
export function computePromptSize(call: Pick<RelayCall, "prompt">): RelayPromptSize {
    const parts = call.prompt?.parts ?? [];
    const partTokens = parts.reduce((sum, part) => sum + part.tokens, 0);
    const totalTokens = Math.max(call.prompt?.promptTokens ?? 0, partTokens);
    const sharedTokens = partTokens - (parts.at(-1)?.tokens ?? 0);
    return { sharedTokens, ownTokens: totalTokens - sharedTokens };
}
