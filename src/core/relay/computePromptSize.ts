import type { RelayCall } from "../../schema/relay/RelayCall.js";

/** Tokens of a prompt: those that other calls share, and its own. */
interface RelayPromptSize {
    readonly sharedTokens: number;
    readonly ownTokens: number;
}

/** The size of the prompt of a call; the last part is its own. */
export function computePromptSize(call: Pick<RelayCall, "prompt">): RelayPromptSize {
    const parts = call.prompt?.parts ?? [];
    const inParts = parts.reduce((sum, part) => sum + part.tokens, 0);
    const total = Math.max(call.prompt?.promptTokens ?? 0, inParts);
    const sharedTokens = inParts - (parts.at(-1)?.tokens ?? 0);
    return { sharedTokens, ownTokens: total - sharedTokens };
}
