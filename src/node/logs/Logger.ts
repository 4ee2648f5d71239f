/** Writes one short sentence, with fields such as `requestId`. Keys, prompts and tokens never belong in either. */
export type Logger = (message: string, fields?: Readonly<Record<string, unknown>>) => void;
