import type { EngineChunk } from "../services/EngineChunk.js";
import { CompletionEvent } from "./CompletionEvent.js";
import { parseEvents } from "./parseEvents.js";

/** A chunk that keeps the engine's bytes and decodes them only when asked. */
export class EngineEvents implements EngineChunk {
    constructor(readonly tokenIndex: number, readonly tokenCount: number, readonly events: Buffer) {}

    get text(): string {
        return this.decode().map(event => event.choices.map(choice => choice.delta?.content ?? choice.text ?? "").join("")).join("");
    }

    get finishReason(): string | undefined {
        return this.decode().flatMap(event => event.choices).findLast(choice => choice.finish_reason)?.finish_reason ?? undefined;
    }

    get cachedPromptTokens(): number | undefined {
        return this.decode().find(event => event.cached_prompt_tokens !== undefined)?.cached_prompt_tokens;
    }

    private decode(): CompletionEvent[] {
        return parseEvents(this.events).flatMap(value => CompletionEvent.safeParse(value).data ?? []);
    }
}
