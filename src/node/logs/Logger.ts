/** Logs a short message with fields such as `requestId`. Neither may contain API keys, prompts or generated text. */
export type Logger = (message: string, fields?: Readonly<Record<string, unknown>>) => void;
