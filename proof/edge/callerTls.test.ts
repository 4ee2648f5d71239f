import { expect } from "earl";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { Agent, request } from "undici";
import { answerText } from "../../standins/engine/answerText.js";
import { setUpEngines } from "./setUpEngines.js";

const testOptions = { timeout: 15_000 };
const readFixture = (name: string) => readFileSync(new URL(`../../src/node/operator/testing/${name}`, import.meta.url), "utf8");
const certificate = readFixture("test-certificate.pem");
const prompt = "which seal fits the nozzle";

test("callers are served over TLS; a caller that does not trust the certificate rejects the connection", testOptions, async context => {
    const { edge, url } = await setUpEngines(context, [{}], { tls: { certificate, key: readFixture("test-key.pem") } });
    expect(url.startsWith("https://")).toEqual(true);
    const body = JSON.stringify({ model: "pumpline-model", messages: [{ role: "user", content: prompt }] });
    const trustingAgent = new Agent({ connect: { ca: certificate } });
    const untrustingAgent = new Agent();
    context.after(() => Promise.all([trustingAgent.destroy(), untrustingAgent.destroy()]));
    const call = (dispatcher: Agent) => request(`${url}/v1/chat/completions`, { method: "POST", headers: edge.headers, body, dispatcher });
    const answer = await (await call(trustingAgent)).body.json() as { choices: { message: { content: string; }; }[]; };
    expect(answer.choices[0]?.message.content).toEqual(answerText(prompt, 32, 1));
    await expect(call(untrustingAgent)).toBeRejected();
});
