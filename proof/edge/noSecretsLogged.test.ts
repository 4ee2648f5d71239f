import { expect } from "earl";
import { afterEach, test } from "node:test";
import { configureLogging } from "../../src/node/logs/configureLogging.js";
import { logOutput } from "../../src/node/logs/logOutput.js";
import { answerText } from "../../standins/engine/answerText.js";
import { Fault } from "../../standins/shared/Fault.js";
import { setUpEngines } from "./setUpEngines.js";
import { streamText } from "./streamText.js";

const prompt = "UNMISTAKABLE-PROMPT pump serial 7781";
const originalWrite = logOutput.write;

afterEach(() => {
    logOutput.write = originalWrite;
    configureLogging({ format: "plain", parts: "" });
});

for (const format of ["plain", "json"] as const) {
    test(
        `${format} logs carry the request id; logs, events and summaries contain no key, prompt or token`,
        { timeout: 15_000 },
        async context => {
            const lines: string[] = [];
            logOutput.write = line => lines.push(line);
            configureLogging({ format, parts: "orioleshelf:*" });
            const { client, edge, engines, url } = await setUpEngines(context, [{}, {}]);
            engines[0]!.faults.set(Fault.parse({ kind: "crash-mid-stream", afterTokens: 4, times: 1 }));
            await streamText(client, prompt);
            engines.forEach(engine => engine.faults.set(Fault.parse({ kind: "crash-mid-stream", afterTokens: 2 })));
            await expect(() => streamText(client, prompt)).toBeRejected();
            engines.forEach(engine => engine.faults.set(Fault.parse({ kind: "refuse" })));
            await expect(() => streamText(client, prompt)).toBeRejected();
            await fetch(`${url}/v1/chat/completions`, { method: "POST", headers: edge.headers, body: `{"model":"${prompt}"` });
            await fetch(`${url}/services/pumpline-jobs/x`, { method: "POST", headers: edge.headers, body: prompt });
            const written = [...lines, JSON.stringify(edge.events), JSON.stringify(edge.ends)].join("\n");
            expect(lines.length).toSatisfy(count => count >= 4);
            expect(lines.every(line => /requestId/.test(line))).toEqual(true);
            const secrets = [edge.key, "UNMISTAKABLE", "serial 7781", ...answerText(prompt, 32, 1).trim().split(" ")];
            expect(secrets.filter(secret => written.includes(secret))).toEqual([]);
        },
    );
}
