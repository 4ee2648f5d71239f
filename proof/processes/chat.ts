import { request } from "undici";
import { exampleCustomers } from "../../src/cli/quickstart/exampleCustomers.js";
import type { ChatResult } from "./ChatResult.js";

/** Streams one chat through a VM. Never throws: a failed connection is a result too. `onText` is called for each chunk. */
export async function chat(
    callerUrl: string,
    prompt: string,
    maxTokens: number,
    serviceClass: string,
    onText: () => void = () => undefined,
): Promise<ChatResult> {
    let text = "";
    try {
        const response = await request(`${callerUrl}/v1/chat/completions`, {
            method: "POST",
            headers: {
                "authorization": `Bearer ${exampleCustomers[0].key}`,
                "content-type": "application/json",
                "x-orioleshelf-class": serviceClass,
            },
            body: JSON.stringify({
                model: "pumpline-model",
                stream: true,
                max_tokens: maxTokens,
                messages: [{ role: "user", content: prompt }],
            }),
        });
        const outcome = String(response.headers["x-orioleshelf-outcome"]);
        try {
            for await (const bytes of response.body) {
                text += String(bytes);
                onText();
            }
        }
        catch {
            return { status: response.statusCode, text: extractContent(text), isClosed: false, outcome };
        }
        return { status: response.statusCode, text: extractContent(text), isClosed: text.trimEnd().endsWith("data: [DONE]"), outcome };
    }
    catch {
        return { status: 0, text: "", isClosed: false, outcome: "" };
    }
}

/** Returns the text of a stream, or the body itself when it is a JSON object. */
function extractContent(stream: string): string {
    if (stream.startsWith("{")) {
        return stream;
    }
    return stream
        .split("\n")
        .filter(line => line.startsWith("data: {") && line.endsWith("}"))
        .map(line => JSON.parse(line.slice("data: ".length)) as { choices?: { delta?: { content?: string; }; }[]; })
        .map(event => event.choices?.[0]?.delta?.content ?? "")
        .join("");
}
