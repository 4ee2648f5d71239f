import { expect } from "earl";
import { after, before, test } from "node:test";
import { applyExampleConfig } from "../src/cli/quickstart/applyExampleConfig.js";
import { EmbeddedFleet } from "../src/cli/quickstart/EmbeddedFleet.js";
import { exampleCustomers } from "../src/cli/quickstart/exampleCustomers.js";
import { configureLogging } from "../src/node/logs/configureLogging.js";
import { logOutput } from "../src/node/logs/logOutput.js";

const prompt = "zebra-prompt-text";
const wrongKey = "zebra-wrong-key-0123456789";
const bookingBody = "zebra-booking-body";

const lines: string[] = [];
const { write } = logOutput;
let fleet: EmbeddedFleet | undefined;

before(async () => {
    logOutput.write = line => lines.push(line);
    configureLogging({ format: "json", parts: "orioleshelf:*" });
    fleet = await EmbeddedFleet.start();
    await applyExampleConfig(fleet);
});

after(async () => {
    await fleet?.stop();
    logOutput.write = write;
    configureLogging({ format: "plain", parts: "" });
});

async function send(target: string, key: string, body: string, headers: Record<string, string> = {}): Promise<string> {
    const response = await fetch(fleet!.vms[0]!.callerUrl + target, {
        method: "POST",
        headers: { authorization: `Bearer ${key}`, "content-type": "application/json", ...headers },
        body,
    });
    return response.text();
}

test("with logging on for every part, no key, prompt, body, completion or token is logged", async () => {
    const { key } = exampleCustomers[0];
    const chat = JSON.stringify({ model: "pumpline-model", max_tokens: 12, messages: [{ role: "user", content: prompt }] });
    const answer = JSON.parse(await send("/v1/chat/completions", key, chat)) as { choices: { message: { content: string; }; }[]; };
    await send("/v1/chat/completions", key, chat.replace("pumpline-model", "no-such-model"));
    await send("/v1/chat/completions", key, chat.slice(0, -1));
    await send("/v1/chat/completions", wrongKey, chat);
    await send("/v1/chat/completions", key, chat, { "x-orioleshelf-class": "zebra-class" });
    await send("/services/pumpline-jobs/callouts", key, JSON.stringify({ bookingBody }), { "idempotency-key": "zebra-idempotency-key" });
    const operator = `${fleet!.vms[0]!.operatorUrl}/orioleshelf.v1.OperatorService/Status`;
    await fetch(operator, {
        method: "POST",
        headers: { authorization: `Bearer ${wrongKey}`, "content-type": "application/json" },
        body: "{}",
    });
    const texts = answer.choices.map(choice => choice.message.content).filter(text => text !== "");
    const secrets = [key, wrongKey, prompt, bookingBody, fleet!.operatorToken, "zebra-idempotency-key", ...texts];
    expect(texts.length).toEqual(1);
    expect(lines.length > 0).toEqual(true);
    expect(lines.filter(line => secrets.some(secret => line.includes(secret)))).toEqual([]);
});

test("every log line is a JSON object with time, part and message", () => {
    for (const line of lines) {
        const { time, part, message } = JSON.parse(line) as Record<string, unknown>;
        expect([typeof time, String(part).startsWith("orioleshelf:"), typeof message]).toEqual(["string", true, "string"]);
    }
});
