import type OpenAI from "openai";

/** Requests a streamed chat completion and returns its complete text. */
export async function streamText(client: OpenAI, prompt: string): Promise<string> {
    const stream = await client.chat.completions.create({
        model: "pumpline-model",
        stream: true,
        messages: [{ role: "user", content: prompt }],
    });
    let text = "";
    for await (const chunk of stream) {
        text += chunk.choices[0]?.delta.content ?? "";
    }
    return text;
}
