import { answerToken } from "./answerToken.js";
import { promptHash } from "./promptHash.js";

/** The complete answer, `tokens` tokens long, that an engine with this seed gives to a prompt. */
export function answerText(prompt: string, tokens: number, seed: number): string {
    const hash = promptHash(prompt, seed);
    return Array.from(Array(tokens).keys(), index => answerToken(hash, index)).join("");
}
