/** What the placement of prompts and the learning of engine speeds take for granted about engines. */
export const enginePromptLimits = {
    /**
     * Mean prompt length from which the prompts of a route count as long: their prefill takes over one chunk and delays streams on the engine.
     */
    minLongPromptTokens: 2_048,
    /**
     * Delay from the end of prefill to the first event, from the engine specifications of the deployments. Until that event, the prompt still
     * counts as pending prefill.
     */
    firstEventDelayMs: 110,
};
